#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "include/heatherplank/Member.h"
#include "src/passthrough/InventoryExchange.h"
#include "src/process/MessageSender.h"
#include "src/wire/PassthroughCodec.h"

namespace heatherplank {

/** Balancers that keep their routes, over links that carry so many bytes a
 * second each way, and the store. No network; time is moved by Run. */
class RoutesFleet
{
public:
  struct Options
  {
    std::size_t mBalancers = 10;
    std::size_t mDataCentres = 5;
    double mLinkMbps = 2;
    std::size_t mDocumentBytes = 160000;
    Duration mInForceWithin = std::chrono::milliseconds(3000);
    /** How long a message is under way, beside its time on the links. */
    Duration mTrip{};
  };

  explicit RoutesFleet(const Options& aOptions)
    : mOptions(aOptions)
  {
    for (std::size_t i = 0; i < mOptions.mBalancers; ++i) {
      auto node = std::make_unique<Node>();
      node->mSelf.mHost = MakeHostId("balancer-" + std::to_string(i));
      node->mSelf.mDataCentre =
        MakeDataCentreId("dc-" + std::to_string(i % mOptions.mDataCentres));
      node->mSelf.mControl.mIp = { 10, 0, 0, 1 };
      node->mSelf.mControl.mPort = static_cast<std::uint16_t>(i + 1);
      mNodes.push_back(std::move(node));
    }
  }

  /** The operator changes the routes. */
  void Change(std::uint64_t aVersion)
  {
    mVersion = aVersion;
    ++mRevision;
    mDocument = std::to_string(aVersion) + " ";
    std::minstd_rand random(static_cast<std::uint32_t>(aVersion));
    while (mDocument.size() < mOptions.mDocumentBytes) {
      // As good as incompressible: packed, it still fills links.
      mDocument.push_back(static_cast<char>(' ' + random() % 95));
    }
    auto waiting = std::move(mWatches);
    mWatches.clear();
    for (auto& it : waiting) {
      it();
    }
  }

  void Start(std::size_t aNode)
  {
    Node& node = *mNodes[aNode];
    ++node.mLife;
    node.mVersion = 0;
    node.mDrained = kUnknown;
    node.mSeen = 0;
    node.mGotDocuments = 0;
    node.mSender = std::make_unique<Sender>(*this, aNode);
    node.mStore = std::make_unique<Store>(*this, aNode);
    std::uint64_t seed = MixHash(node.mSelf.mHost.mValue, node.mLife);
    node.mRoutes = std::make_unique<InventoryExchange>(InventoryExchange::Parts{
      mClock,
      *node.mSender,
      *node.mStore,
      mReader,
      { .mKey = "k", .mSchedule = { .mSeed = seed } },
      { .mKind = "drains", .mSchedule = { .mSeed = seed + 1 } },
      { node.mSelf.mControl, BytesPerSecond(), seed },
      { node.mSelf.mHost, node.mSelf.mDataCentre, mOptions.mInForceWithin,
        mClock.Now(), seed },
      [this, aNode] { return Others(aNode); },
      [this, aNode] { return std::vector<Address>{ Seed(aNode) }; },
      [&node](const FlowInventoryPtr& aIt) { node.mVersion = aIt->mVersion; },
      [&node](const DataCentreDrains& aIt) {
        node.mDrained = aIt.mDataCentres.size();
      } });
  }

  void StartAll()
  {
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      Start(i);
    }
  }

  /** The operator drains data centres, and takes the others back. */
  void Drain(std::vector<std::string> aNames)
  {
    mDrained = std::move(aNames);
    mDrainsVersion = ++mRevision;
    for (auto& it : std::exchange(mNameWatches, {})) {
      it();
    }
  }

  /** How many balancers know that exactly so many are drained. */
  std::size_t CountDraining(std::size_t aDataCentres) const
  {
    return static_cast<std::size_t>(std::ranges::count_if(
      mNodes, [&](const auto& aIt) { return aIt->mDrained == aDataCentres; }));
  }

  /** How long it takes until all know that so many are drained. */
  Duration UntilAllDrain(std::size_t aDataCentres, Duration aMost)
  {
    Time began = mClock.Now();
    while (mClock.Now() - began < aMost &&
           CountDraining(aDataCentres) < mNodes.size()) {
      Run(std::chrono::milliseconds(5));
    }
    return mClock.Now() - began;
  }

  /** Nobody gets answers from the store from now on. */
  void CutAllFromStore()
  {
    for (auto& it : mNodes) {
      it->mIsCut = true;
    }
  }

  /** A balancer gets no answers from the store from now on. */
  void CutFromStore(std::size_t aNode) { mNodes[aNode]->mIsCut = true; }

  void Run(Duration aFor)
  {
    for (Time end = mClock.Now() + aFor; mClock.Now() < end;) {
      mClock.Advance(std::chrono::milliseconds(1));
      while (!mEvents.empty() && mEvents.begin()->first <= mClock.Now()) {
        auto event = std::move(mEvents.begin()->second);
        mEvents.erase(mEvents.begin());
        event();
      }
      if (++mMs % 50 == 0) {
        for (auto& it : mNodes) {
          it->mRoutes->OnTick();
        }
      }
    }
  }

  /** How long it takes until all have a version; aMost if some do not by then.
   */
  Duration UntilAllHave(std::uint64_t aVersion, Duration aMost)
  {
    Time began = mClock.Now();
    while (mClock.Now() - began < aMost && CountOf(aVersion) < mNodes.size()) {
      Run(std::chrono::milliseconds(5));
    }
    return mClock.Now() - began;
  }

  std::size_t CountOf(std::uint64_t aVersion) const
  {
    return static_cast<std::size_t>(std::ranges::count_if(
      mNodes, [&](const auto& aIt) { return aIt->mVersion == aVersion; }));
  }

  /** Documents that came to a balancer since its start, from peers and from
   * the store. */
  std::size_t DocumentsAt(std::size_t aNode) const
  {
    return mNodes[aNode]->mGotDocuments;
  }

  /** How long a packet that a caller sends now waits for a balancer's link. */
  Duration BacklogAt(std::size_t aNode) const
  {
    return std::max(mNodes[aNode]->mInFreeAt - mClock.Now(), Duration::zero());
  }

  std::size_t StoreCalls() const { return mStoreCalls; }

  /** Balancers that have a watch at the store. */
  std::vector<std::size_t> Watching() const { return mWatching; }

private:
  static constexpr std::size_t kUnknown = 1000;

  struct Node
  {
    Member mSelf;
    std::uint64_t mLife = 0;
    std::unique_ptr<MessageSender> mSender;
    std::unique_ptr<ObjectStore> mStore;
    std::unique_ptr<InventoryExchange> mRoutes;
    std::uint64_t mVersion = 0;
    /** Data centres that it knows to be drained. */
    std::size_t mDrained = kUnknown;
    /** The store's version that its last answer told. */
    std::uint64_t mSeen = 0;
    std::size_t mGotDocuments = 0;
    bool mIsCut = false;
    Time mOutFreeAt{};
    Time mInFreeAt{};
  };

  class Sender final : public MessageSender
  {
  public:
    Sender(RoutesFleet& aFleet, std::size_t aNode)
      : mFleet(aFleet)
      , mNode(aNode)
    {
    }
    void Send(const Address& aTo, MessageKind aKind, ByteView aPayload) override
    {
      mFleet.Carry(mNode, aTo, aKind, { aPayload.begin(), aPayload.end() });
    }

  private:
    RoutesFleet& mFleet;
    std::size_t mNode;
  };

  class Store final : public ObjectStore
  {
  public:
    Store(RoutesFleet& aFleet, std::size_t aNode)
      : mFleet(aFleet)
      , mNode(aNode)
    {
    }
    void Get(std::string_view, Done<Object> aDone) override
    {
      ++mFleet.mStoreCalls;
      mFleet.Answer(mNode, [this, done = std::move(aDone)] {
        done(Object{ "k", mFleet.mDocument, mFleet.mVersion });
      });
    }
    void Watch(std::string_view, std::uint64_t aAfter, Duration aWait,
               Done<std::optional<Object>> aDone) override
    {
      ++mFleet.mStoreCalls;
      mFleet.Wait(mNode, aAfter, aWait, aDone);
    }
    void Put(std::string_view, std::string, WriteCondition,
             Done<std::uint64_t>) override
    {
    }
    void Delete(std::string_view, WriteCondition, Done<std::uint64_t>) override
    {
    }
    void List(std::string_view, Done<std::vector<ObjectName>>) override {}
    void WatchNames(std::string_view, std::uint64_t aAfter, Duration aWait,
                    Done<NameChange> aDone) override
    {
      mFleet.WaitForNames(mNode, aAfter, aWait, std::move(aDone));
    }
    std::uint64_t SeenVersion() const override
    {
      return mFleet.mNodes[mNode]->mSeen;
    }

  private:
    RoutesFleet& mFleet;
    std::size_t mNode;
  };

  /** The version stands before the first space. */
  class Reader final : public FlowInventoryReader
  {
  public:
    Result<FlowInventoryPtr> Read(std::string_view aDocument) const override
    {
      auto out = std::make_shared<FlowInventory>();
      out->mVersion =
        static_cast<std::uint64_t>(std::atoi(std::string(aDocument).c_str()));
      return out;
    }
  };

  double BytesPerSecond() const { return mOptions.mLinkMbps * 125000; }

  Duration TakenBy(std::size_t aBytes) const
  {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(aBytes) / BytesPerSecond()));
  }

  void At(Time aWhen, std::function<void()> aEvent)
  {
    mEvents.emplace(aWhen, std::move(aEvent));
  }

  /** When bytes that a balancer is sent from now on have come. */
  Time Receive(Node& aNode, std::size_t aBytes, Time aFrom)
  {
    aNode.mInFreeAt = std::max(aNode.mInFreeAt, aFrom) + TakenBy(aBytes);
    return aNode.mInFreeAt;
  }

  void Carry(std::size_t aFrom, const Address& aTo, MessageKind aKind,
             Bytes aPayload)
  {
    Node& from = *mNodes[aFrom];
    Node& to = *mNodes[aTo.mPort - 1U];
    Time begins = std::max(from.mOutFreeAt, mClock.Now());
    from.mOutFreeAt = begins + TakenBy(aPayload.size());
    // The receiver's link carries the first bytes while the last are sent.
    Time at = std::max(from.mOutFreeAt, Receive(to, aPayload.size(), begins)) +
              mOptions.mTrip;
    At(at, [&to, life = to.mLife, aKind, payload = std::move(aPayload)] {
      if (to.mLife == life) {
        Take(to, aKind, payload);
      }
    });
  }

  static void Take(Node& aNode, MessageKind aKind, const Bytes& aPayload)
  {
    if (aKind == MessageKind::InventoryNotice) {
      aNode.mRoutes->OnNotice(*DecodeInventoryNotice(aPayload));
      return;
    }
    ++aNode.mGotDocuments;
    aNode.mRoutes->OnDocument(*DecodeInventoryDocument(aPayload));
  }

  /** Carries the document to a balancer, then calls aDone. */
  void Answer(std::size_t aNode, std::function<void()> aDone)
  {
    Node& node = *mNodes[aNode];
    if (node.mIsCut) {
      return;
    }
    Time at = Receive(node, mDocument.size(),
                      mClock.Now() + std::chrono::milliseconds(4));
    At(at, [&node, life = node.mLife, revision = mRevision,
            done = std::move(aDone)] {
      if (node.mLife == life) {
        ++node.mGotDocuments;
        node.mSeen = revision;
        done();
      }
    });
  }

  void Wait(std::size_t aNode, std::uint64_t aAfter, Duration aWait,
            const ObjectStore::Done<std::optional<Object>>& aDone)
  {
    Node& node = *mNodes[aNode];
    auto ended = std::make_shared<bool>(false);
    mWatching.push_back(aNode);
    auto changed = [this, aNode, ended, life = node.mLife, aDone] {
      if (!*ended && mNodes[aNode]->mLife == life) {
        *ended = true;
        std::erase(mWatching, aNode);
        Answer(aNode, [this, aDone] {
          aDone(std::optional(Object{ "k", mDocument, mVersion }));
        });
      }
    };
    if (aAfter < mVersion) {
      changed();
      return;
    }
    mWatches.push_back(changed);
    At(mClock.Now() + aWait, [this, aNode, ended, life = node.mLife, aDone] {
      if (*ended || mNodes[aNode]->mLife != life || mNodes[aNode]->mIsCut) {
        return;
      }
      *ended = true;
      std::erase(mWatching, aNode);
      mNodes[aNode]->mSeen = mRevision;
      aDone(std::optional<Object>());
    });
  }

  void WaitForNames(std::size_t aNode, std::uint64_t aAfter, Duration aWait,
                    ObjectStore::Done<NameChange> aDone)
  {
    ++mStoreCalls;
    auto ended = std::make_shared<bool>(false);
    auto answer = [this, aNode, ended, life = mNodes[aNode]->mLife,
                   done = std::move(aDone)](bool aChanged) {
      Node& node = *mNodes[aNode];
      if (*ended || node.mLife != life || node.mIsCut) {
        return;
      }
      *ended = true;
      NameChange change{ mRevision, {} };
      if (aChanged) {
        change.mNames = mDrained;
      }
      At(mClock.Now() + std::chrono::milliseconds(4),
         [&node, life, done, change] {
           if (node.mLife == life) {
             node.mSeen = change.mAsOf;
             done(change);
           }
         });
    };
    if (aAfter == 0 || aAfter < mDrainsVersion) {
      answer(true);
      return;
    }
    mNameWatches.emplace_back([answer] { answer(true); });
    At(mClock.Now() + aWait, [answer] { answer(false); });
  }

  std::vector<Member> Others(std::size_t aNode) const
  {
    std::vector<Member> out;
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      if (i != aNode) {
        out.push_back(mNodes[i]->mSelf);
      }
    }
    return out;
  }

  Address Seed(std::size_t aNode) const
  {
    return mNodes[aNode == 0 ? 1 : 0]->mSelf.mControl;
  }

  const Options mOptions;
  ManualClock mClock;
  Reader mReader;
  std::multimap<Time, std::function<void()>> mEvents;
  std::vector<std::function<void()>> mWatches;
  std::vector<std::size_t> mWatching;
  std::vector<std::function<void()>> mNameWatches;
  std::vector<std::string> mDrained;
  std::uint64_t mRevision = 1;
  std::uint64_t mDrainsVersion = 1;
  std::uint64_t mVersion = 0;
  std::string mDocument;
  std::size_t mStoreCalls = 0;
  std::uint64_t mMs = 0;
  std::vector<std::unique_ptr<Node>> mNodes;
};

} // namespace heatherplank
