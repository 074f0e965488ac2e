#pragma once

#include <cstddef>
#include <cstdint>

#include "src/membership/MemberRecord.h"

namespace heatherplank {

/** Encoded bytes of one record, and of a message without its records. Byte
 * budgets are charged by these estimates. */
constexpr std::size_t kRecordBytes = 88;
constexpr std::size_t kEnvelopeBytes = 96;

inline std::size_t EncodedBytes(const MemberDelta& aDelta)
{
  return kEnvelopeBytes + aDelta.mRecords.size() * kRecordBytes;
}

inline std::size_t EncodedBytes(const MemberDigest& aDigest)
{
  return kEnvelopeBytes + aDigest.mHashes.size() * sizeof(std::uint64_t);
}

} // namespace heatherplank
