#include "src/agent/AnswerStore.h"

#include <utility>
#include <vector>

#include "src/caller/AnswerCodec.h"
#include "src/wire/WireAddress.h"

namespace heatherplank {

namespace {

/** Estimated bytes an entry uses in maps, list and header fields. */
constexpr std::size_t kEntryOverheadBytes = 400;

} // namespace

AnswerStore::AnswerStore(std::size_t aMaxBytes)
  : mMaxBytes(aMaxBytes)
{
}

AnswerStore::~AnswerStore()
{
  mByAge.clear();
}

std::size_t AnswerStore::Size(const Entry& aEntry)
{
  std::size_t body = aEntry.mAnswer ? aEntry.mAnswer->mBody.size() : 0;
  return kEntryOverheadBytes + aEntry.mRequestId.size() + body;
}

RequestState AnswerStore::Begin(const FlowKey& aFlow,
                                const std::string& aRequestId)
{
  FlowEntries& flow = mFlows[aFlow];
  auto [it, added] = flow.mById.try_emplace(aRequestId);
  if (!added) {
    return it->second->mAnswer ? RequestState::Answered
                               : RequestState::InProgress;
  }
  it->second = std::make_unique<Entry>();
  it->second->mFlow = aFlow;
  it->second->mRequestId = aRequestId;
  ++flow.mInProgress;
  mBytes += Size(*it->second);
  return RequestState::New;
}

void AnswerStore::Finish(const FlowKey& aFlow, const std::string& aRequestId,
                         Answer aAnswer, Time aNow)
{
  if (Begin(aFlow, aRequestId) == RequestState::Answered) {
    return;
  }
  FlowEntries& flow = mFlows[aFlow];
  Entry& entry = *flow.mById[aRequestId];
  --flow.mInProgress;
  mBytes -= Size(entry);
  entry.mAnswer = std::move(aAnswer);
  entry.mAnsweredAt = aNow;
  mBytes += Size(entry);
  mByAge.push_back(entry);
  EvictOldest();
}

void AnswerStore::Release(const FlowKey& aFlow, const std::string& aRequestId)
{
  auto flow = mFlows.find(aFlow);
  if (flow == mFlows.end()) {
    return;
  }
  auto it = flow->second.mById.find(aRequestId);
  if (it == flow->second.mById.end() || it->second->mAnswer) {
    return;
  }
  mBytes -= Size(*it->second);
  --flow->second.mInProgress;
  flow->second.mById.erase(it);
  if (flow->second.mById.empty()) {
    mFlows.erase(flow);
  }
}

const Answer* AnswerStore::Find(const FlowKey& aFlow,
                                const std::string& aRequestId) const
{
  auto flow = mFlows.find(aFlow);
  if (flow == mFlows.end()) {
    return nullptr;
  }
  auto it = flow->second.mById.find(aRequestId);
  bool answered =
    it != flow->second.mById.end() && it->second->mAnswer.has_value();
  return answered ? &*it->second->mAnswer : nullptr;
}

std::size_t AnswerStore::InProgress(const FlowKey& aFlow) const
{
  auto it = mFlows.find(aFlow);
  return it == mFlows.end() ? 0 : it->second.mInProgress;
}

Bytes AnswerStore::Export(const FlowKey& aFlow) const
{
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<wire::KeptAnswer>> answers;
  if (auto flow = mFlows.find(aFlow); flow != mFlows.end()) {
    for (const auto& [id, entry] : flow->second.mById) {
      if (entry->mAnswer) {
        answers.push_back(ToWire(builder, id, *entry->mAnswer));
      }
    }
  }
  builder.Finish(
    wire::CreateKeptAnswers(builder, builder.CreateVector(answers)));
  ByteView bytes = Finished(builder);
  return { bytes.begin(), bytes.end() };
}

Result<void> AnswerStore::Import(const FlowKey& aFlow, ByteView aBytes,
                                 Time aNow)
{
  if (aBytes.empty()) {
    return {};
  }
  auto read = ReadRoot<wire::KeptAnswers>(aBytes, "retained answers");
  if (!read) {
    return tl::unexpected(read.error());
  }
  const auto* answers = (*read)->answers();
  if (answers == nullptr) {
    return {};
  }
  for (const auto* it : *answers) {
    auto answer = FromWire(*it);
    if (!answer) {
      return tl::unexpected(answer.error());
    }
    Finish(aFlow, it->request_id()->str(), std::move(*answer), aNow);
  }
  return {};
}

void AnswerStore::Forget(const FlowKey& aFlow)
{
  auto flow = mFlows.find(aFlow);
  if (flow == mFlows.end()) {
    return;
  }
  std::vector<Entry*> answered;
  for (auto& [id, entry] : flow->second.mById) {
    if (entry->mAnswer) {
      answered.push_back(entry.get());
    }
  }
  for (Entry* it : answered) {
    Erase(*it);
  }
}

void AnswerStore::Expire(Time aNow)
{
  while (!mByAge.empty() && mByAge.front().mAnsweredAt + kRetention <= aNow) {
    Erase(mByAge.front());
  }
}

void AnswerStore::Erase(Entry& aEntry)
{
  mBytes -= Size(aEntry);
  mByAge.erase(mByAge.iterator_to(aEntry));
  auto flow = mFlows.find(aEntry.mFlow);
  flow->second.mById.erase(std::string(aEntry.mRequestId));
  if (flow->second.mById.empty()) {
    mFlows.erase(flow);
  }
}

void AnswerStore::EvictOldest()
{
  // The newest answer stays, whatever its size: it has not been sent yet.
  while (mBytes > mMaxBytes && !mByAge.empty() &&
         &mByAge.front() != &mByAge.back()) {
    Erase(mByAge.front());
  }
}

} // namespace heatherplank
