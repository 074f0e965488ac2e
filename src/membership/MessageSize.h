#pragma once

#include <cstddef>
#include <cstdint>

#include "src/membership/MemberRecord.h"

namespace heatherplank {

/** Bytes of a record in a message, and of a message around its records, as
 * encoded; what budgets are reckoned by. */
constexpr std::size_t kRecordBytes = 88;
constexpr std::size_t kEnvelopeBytes = 96;

inline std::size_t BytesOf(const MemberDelta& aDelta)
{
  return kEnvelopeBytes + aDelta.mRecords.size() * kRecordBytes;
}

inline std::size_t BytesOf(const MemberDigest& aDigest)
{
  return kEnvelopeBytes + aDigest.mHashes.size() * sizeof(std::uint64_t);
}

} // namespace heatherplank
