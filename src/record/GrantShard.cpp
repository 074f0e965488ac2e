#include "src/record/GrantShard.h"

#include <algorithm>

#include "src/wire/WireAddress.h"
#include "src/wire/grants_generated.h"

namespace heatherplank {

namespace {

/** Upper bound of a grant's table, vtable share, offsets and padding. */
constexpr std::size_t kGrantOverheadBytes = 72;
constexpr std::size_t kShardOverheadBytes = 128;

using WireGrants = flatbuffers::Vector<flatbuffers::Offset<wire::Grant>>;

flatbuffers::Offset<WireGrants> WriteGrants(
  flatbuffers::FlatBufferBuilder& aBuilder,
  const std::map<std::string, Grant>& aGrants)
{
  std::vector<flatbuffers::Offset<wire::Grant>> out;
  out.reserve(aGrants.size());
  for (const auto& [key, grant] : aGrants) {
    auto name = aBuilder.CreateString(key);
    flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> answer;
    if (grant.mAnswer) {
      const auto* bytes =
        reinterpret_cast<const std::uint8_t*>(grant.mAnswer->data());
      answer = aBuilder.CreateVector(bytes, grant.mAnswer->size());
    }
    out.push_back(wire::CreateGrant(aBuilder, name, grant.mHost.mValue,
                                    grant.mIncarnation, grant.mNonce,
                                    grant.mAnswered, answer));
  }
  return aBuilder.CreateVector(out);
}

void ReadGrants(const WireGrants& aFrom, std::map<std::string, Grant>& aOut)
{
  for (const wire::Grant* it : aFrom) {
    Grant grant{ { it->host() },
                 it->incarnation(),
                 it->nonce(),
                 it->answered(),
                 std::nullopt };
    if (it->answer() != nullptr) {
      grant.mAnswer.emplace(it->answer()->begin(), it->answer()->end());
    }
    aOut.emplace_hint(aOut.end(), it->key()->str(), std::move(grant));
  }
}

std::size_t EncodedBoundOf(const std::map<std::string, Grant>& aGrants)
{
  std::size_t n = 0;
  for (const auto& [key, grant] : aGrants) {
    n += kGrantOverheadBytes + key.size();
    n += grant.mAnswer ? grant.mAnswer->size() : 0;
  }
  return n;
}

} // namespace

Result<GrantShard> GrantShard::Decode(std::string_view aValue)
{
  GrantShard shard;
  if (aValue.empty()) {
    return shard;
  }
  // FlatBuffers requires aligned bytes; a string's buffer is aligned.
  ByteView bytes(reinterpret_cast<const std::uint8_t*>(aValue.data()),
                 aValue.size());
  auto read = ReadRoot<wire::GrantShard>(bytes, "grant shard");
  if (!read) {
    return tl::unexpected(read.error());
  }
  const wire::GrantShard& from = **read;
  ReadGrants(*from.current(), shard.mCurrent);
  ReadGrants(*from.previous(), shard.mPrevious);
  shard.mExpiredHashes.assign(from.faded()->begin(), from.faded()->end());
  shard.mGeneration = from.generation();
  return shard;
}

std::string GrantShard::Encode() const
{
  flatbuffers::FlatBufferBuilder builder(EncodedBound());
  auto current = WriteGrants(builder, mCurrent);
  auto previous = WriteGrants(builder, mPrevious);
  auto expired = builder.CreateVector(mExpiredHashes);
  builder.Finish(
    wire::CreateGrantShard(builder, current, previous, expired, mGeneration));
  ByteView bytes = Finished(builder);
  return { bytes.begin(), bytes.end() };
}

const Grant* GrantShard::Find(const std::string& aKey) const
{
  auto it = mCurrent.find(aKey);
  if (it != mCurrent.end()) {
    return &it->second;
  }
  it = mPrevious.find(aKey);
  return it == mPrevious.end() ? nullptr : &it->second;
}

bool GrantShard::HasExpired(const std::string& aKey) const
{
  return std::ranges::find(mExpiredHashes, HashBytes(aKey)) !=
         mExpiredHashes.end();
}

void GrantShard::Set(const std::string& aKey, const Grant& aGrant)
{
  Grants& generation = mPrevious.contains(aKey) ? mPrevious : mCurrent;
  generation[aKey] = aGrant;
}

void GrantShard::Remove(const std::string& aKey)
{
  mCurrent.erase(aKey);
  mPrevious.erase(aKey);
}

void GrantShard::Rotate()
{
  mExpiredHashes.clear();
  for (const auto& [key, grant] : mPrevious) {
    mExpiredHashes.push_back(HashBytes(key));
  }
  if (mExpiredHashes.size() > kMaxExpiredKeys) {
    mExpiredHashes.resize(kMaxExpiredKeys);
  }
  mPrevious = std::move(mCurrent);
  mCurrent.clear();
  ++mGeneration;
}

std::size_t GrantShard::EncodedBound() const
{
  return kShardOverheadBytes + EncodedBoundOf(mCurrent) +
         EncodedBoundOf(mPrevious) +
         mExpiredHashes.size() * sizeof(std::uint64_t);
}

} // namespace heatherplank
