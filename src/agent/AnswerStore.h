#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <unordered_map>

#include <boost/intrusive/list.hpp>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/caller/Answer.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** What the store knows of a request. */
enum class RequestState : std::uint8_t
{
  /** Never seen, or forgotten. */
  New,
  /** In progress here; a copy of it waits for the same answer. */
  InProgress,
  /** Answered; the answer is kept. */
  Answered,
};

/** The requests of flows that this host owns: which are in progress, and the
 * answers of the last ones, so that a datagram sent again is answered again
 * and never run again. Bounded by time and bytes; the oldest answers go first.
 * Not thread safe: one instance a shard, under the shard's lock.
 */
class AnswerStore
{
public:
  /** How long an answer is kept after it was given: longer than any caller
   * goes on asking for missing ranges. */
  static constexpr Duration kRetention = std::chrono::seconds(30);

  /** aMaxBytes bounds the bodies and keys that are kept. */
  explicit AnswerStore(std::size_t aMaxBytes);
  ~AnswerStore();

  /** Notes a request as in progress if it is new, and tells what it was. */
  RequestState Begin(const FlowKey& aFlow, const std::string& aRequestId);

  /** Keeps the answer of a request. */
  void Finish(const FlowKey& aFlow, const std::string& aRequestId,
              Answer aAnswer, Time aNow);

  /** Forgets a request in progress that another host runs now. */
  void Release(const FlowKey& aFlow, const std::string& aRequestId);

  /** The kept answer of a request, or null; valid until the next call that
   * changes the store. */
  const Answer* Find(const FlowKey& aFlow, const std::string& aRequestId) const;

  /** Requests of a flow that are in progress. */
  std::size_t InProgress(const FlowKey& aFlow) const;

  /** The flow's kept answers for its next owner. */
  Bytes Export(const FlowKey& aFlow) const;

  /** Takes over a flow's answers; Malformed if the bytes are not such. What
   * is known here already stays. */
  Result<void> Import(const FlowKey& aFlow, ByteView aBytes, Time aNow);

  /** Forgets a flow, but for requests in progress. */
  void Forget(const FlowKey& aFlow);

  /** Drops answers past their retention. */
  void Expire(Time aNow);

  std::size_t BytesKept() const { return mBytes; }

private:
  struct Entry : boost::intrusive::list_base_hook<>
  {
    FlowKey mFlow;
    std::string mRequestId;
    /** None while the request is in progress. */
    std::optional<Answer> mAnswer;
    Time mAnsweredAt;
  };
  struct FlowEntries
  {
    std::unordered_map<std::string, std::unique_ptr<Entry>> mById;
    std::size_t mInProgress = 0;
  };
  using FlowMap = std::unordered_map<FlowKey, FlowEntries>;

  static std::size_t Size(const Entry& aEntry);

  void Drop(Entry& aEntry);
  void MakeRoom();

  std::size_t mMaxBytes;
  std::size_t mBytes = 0;
  FlowMap mFlows;
  /** Answered entries, the oldest first. */
  boost::intrusive::list<Entry, boost::intrusive::constant_time_size<false>>
    mByAge;
};

} // namespace heatherplank
