#pragma once

#include <string>
#include <string_view>

#include "include/heatherplank/Error.h"
#include "src/caller/Answer.h"
#include "src/wire/answers_generated.h"

namespace heatherplank {

/** An answer as a table of answers.fbs, and back. Thread safe. */
flatbuffers::Offset<wire::KeptAnswer> ToWire(
  flatbuffers::FlatBufferBuilder& aBuilder, const std::string& aRequestId,
  const Answer& aAnswer);
Result<Answer> FromWire(const wire::KeptAnswer& aFrom);

/** One answer as bytes, to be kept where a repeat can find it. Thread safe. */
std::string PackAnswer(const Answer& aAnswer);
/** Malformed if the bytes are no such answer. Thread safe. */
Result<Answer> UnpackAnswer(std::string_view aBytes);

} // namespace heatherplank
