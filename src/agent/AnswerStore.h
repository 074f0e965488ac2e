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

/** State of a request in the store. */
enum class RequestState : std::uint8_t
{
  /** Not in the store: never seen, expired or evicted. */
  New,
  /** In progress here; its answer also serves copies of it. */
  InProgress,
  /** Answered; the answer is retained. */
  Answered,
};

/** The requests of this host's flows: those in progress, and recent answers, so
 * that a retransmitted datagram gets the same answer and does not run again.
 * Bounded by time and bytes; the oldest answers are evicted first. Not thread
 * safe: one instance per shard, under the shard's lock.
 */
class AnswerStore
{
public:
  /** How long an answer is retained: longer than any caller requests missing
   * ranges. */
  static constexpr Duration kRetention = std::chrono::seconds(30);

  /** aMaxBytes bounds the bodies, ids and overhead of the entries. */
  explicit AnswerStore(std::size_t aMaxBytes);
  ~AnswerStore();

  /** Records a new request as in progress. Returns its state before the call.
   */
  RequestState Begin(const FlowKey& aFlow, const std::string& aRequestId);

  /** Stores the answer of a request, unless it has one already. */
  void Finish(const FlowKey& aFlow, const std::string& aRequestId,
              Answer aAnswer, Time aNow);

  /** Removes a request in progress that was forwarded to another host. */
  void Release(const FlowKey& aFlow, const std::string& aRequestId);

  /** The retained answer of a request, or null; valid until the next call that
   * changes the store. */
  const Answer* Find(const FlowKey& aFlow, const std::string& aRequestId) const;

  /** Number of a flow's requests that are in progress. */
  std::size_t InProgress(const FlowKey& aFlow) const;

  /** Encodes the flow's retained answers for its next owner. */
  Bytes Export(const FlowKey& aFlow) const;

  /** Adds the answers from Export. Answers stored here already stay. Fails with
   * ErrorKind::Malformed if aBytes can't be decoded. */
  Result<void> Import(const FlowKey& aFlow, ByteView aBytes, Time aNow);

  /** Removes a flow's answers; requests in progress stay. */
  void Forget(const FlowKey& aFlow);

  /** Removes answers older than kRetention. */
  void Expire(Time aNow);

  /** Estimated size of all entries. */
  std::size_t RetainedBytes() const { return mBytes; }

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

  void Erase(Entry& aEntry);
  void EvictOldest();

  std::size_t mMaxBytes;
  std::size_t mBytes = 0;
  FlowMap mFlows;
  /** Answered entries, the oldest first. */
  boost::intrusive::list<Entry, boost::intrusive::constant_time_size<false>>
    mByAge;
};

} // namespace heatherplank
