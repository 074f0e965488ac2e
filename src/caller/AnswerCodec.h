#pragma once

#include <string>
#include <string_view>

#include "include/heatherplank/Error.h"
#include "src/caller/Answer.h"
#include "src/wire/answers_generated.h"

namespace heatherplank {

/** Converts an answer to a table of answers.fbs, and back. Thread safe. */
flatbuffers::Offset<wire::KeptAnswer> ToWire(
  flatbuffers::FlatBufferBuilder& aBuilder, const std::string& aRequestId,
  const Answer& aAnswer);
Result<Answer> FromWire(const wire::KeptAnswer& aFrom);

/** Serialises one answer, to be retained for repeated requests. Thread safe. */
std::string PackAnswer(const Answer& aAnswer);
/** Parses the output of PackAnswer; Malformed for other bytes. Thread safe. */
Result<Answer> UnpackAnswer(std::string_view aBytes);

} // namespace heatherplank
