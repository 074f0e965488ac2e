#pragma once

#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/unordered_set.hpp>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** A map from flow to Value with room for a fixed number, in the order of last
 * use. Entries are never moved; a freed one is used again, so the steady state
 * allocates nothing.
 *
 * Entries are in one of two classes, each with its own order: what may be
 * evicted to make room, and what may not. Not thread safe.
 */
template<typename Value>
class BoundedTable
{
public:
  struct Entry
    : boost::intrusive::unordered_set_base_hook<
        boost::intrusive::store_hash<true>>
    , boost::intrusive::list_base_hook<>
  {
    FlowKey mFlow;
    bool mInUse = false;
    bool mKept = false;
    Time mSeen;
    Value mValue;
  };

  explicit BoundedTable(std::size_t aCapacity)
    : mCapacity(aCapacity)
    , mBuckets(std::bit_ceil(aCapacity))
    , mIndex({ mBuckets.data(), mBuckets.size() })
  {
  }

  BoundedTable(const BoundedTable&) = delete;
  BoundedTable& operator=(const BoundedTable&) = delete;

  ~BoundedTable()
  {
    mIndex.clear();
    mOrder[0].clear();
    mOrder[1].clear();
    mFree.clear();
  }

  std::size_t Size() const { return mIndex.size(); }
  bool IsFull() const { return mIndex.size() >= mCapacity; }

  /** The entry of a flow, or null. Valid until it is erased. */
  Entry* Find(const FlowKey& aFlow)
  {
    auto it = mIndex.find(aFlow, HashOf{}, Same{});
    return it == mIndex.end() ? nullptr : &*it;
  }

  /** Adds an entry that may be evicted, or gives null if there is no room.
   * Precondition: the flow is not in the table.
   */
  Entry* Insert(const FlowKey& aFlow, Time aNow)
  {
    if (IsFull()) {
      return nullptr;
    }
    Entry& entry = TakeFree();
    entry.mFlow = aFlow;
    entry.mInUse = true;
    entry.mKept = false;
    entry.mSeen = aNow;
    entry.mValue = Value{};
    mIndex.insert(entry);
    mOrder[0].push_back(entry);
    return &entry;
  }

  /** Finds or inserts; null if it is absent and there is no room. */
  Entry* Put(const FlowKey& aFlow, Time aNow)
  {
    Entry* entry = Find(aFlow);
    if (entry == nullptr) {
      return Insert(aFlow, aNow);
    }
    Touch(*entry, aNow);
    return entry;
  }

  /** Makes an entry the one that was used last. */
  void Touch(Entry& aEntry, Time aNow)
  {
    auto& order = mOrder[aEntry.mKept ? 1 : 0];
    aEntry.mSeen = aNow;
    order.splice(order.end(), order, order.iterator_to(aEntry));
  }

  /** Moves an entry to the class that is never evicted. */
  void Keep(Entry& aEntry)
  {
    if (!aEntry.mKept) {
      aEntry.mKept = true;
      mOrder[1].splice(mOrder[1].end(), mOrder[0],
                       mOrder[0].iterator_to(aEntry));
    }
  }

  void Erase(Entry& aEntry)
  {
    mIndex.erase(mIndex.iterator_to(aEntry));
    auto& order = mOrder[aEntry.mKept ? 1 : 0];
    order.erase(order.iterator_to(aEntry));
    aEntry.mInUse = false;
    aEntry.mValue = Value{};
    mFree.push_back(aEntry);
  }

  /** The entry that was used longest ago among those that may be evicted, or
   * among those that may not; null if there is none.
   */
  Entry* Oldest(bool aKept = false)
  {
    auto& order = mOrder[aKept ? 1 : 0];
    return order.empty() ? nullptr : &order.front();
  }

  /** Erases entries that were last used before aBefore, oldest first. Each is
   * shown to aGone first; if that gives false the entry counts as used at aNow
   * instead. Looks at most at aLimit of them.
   */
  template<typename Fn>
  void Expire(Time aBefore, Time aNow, Fn&& aGone, std::size_t aLimit = 4096)
  {
    for (bool kept : { false, true }) {
      for (std::size_t n = 0; n < aLimit; ++n) {
        Entry* oldest = Oldest(kept);
        if (oldest == nullptr || oldest->mSeen >= aBefore) {
          break;
        }
        if (aGone(*oldest)) {
          Erase(*oldest);
        } else {
          Touch(*oldest, aNow);
        }
      }
    }
  }

  /** Positions that were ever used: for sweeps with At. */
  std::size_t Slots() const { return mStorage.size(); }

  /** The entry at a position, or null if that is free now. */
  Entry* At(std::size_t aSlot)
  {
    Entry& entry = mStorage[aSlot];
    return entry.mInUse ? &entry : nullptr;
  }

  /** Bytes of one entry with its share of the index, when full. */
  static constexpr std::size_t BytesPerEntry()
  {
    return sizeof(Entry) + sizeof(typename Index::bucket_type);
  }

private:
  struct HashOf
  {
    std::size_t operator()(const FlowKey& aFlow) const
    {
      return HashFlow(aFlow);
    }
    std::size_t operator()(const Entry& aEntry) const
    {
      return HashFlow(aEntry.mFlow);
    }
  };
  struct Same
  {
    bool operator()(const FlowKey& aLeft, const Entry& aRight) const
    {
      return aLeft == aRight.mFlow;
    }
    bool operator()(const Entry& aLeft, const FlowKey& aRight) const
    {
      return aLeft.mFlow == aRight;
    }
    bool operator()(const Entry& aLeft, const Entry& aRight) const
    {
      return aLeft.mFlow == aRight.mFlow;
    }
  };
  using Index =
    boost::intrusive::unordered_set<Entry, boost::intrusive::hash<HashOf>,
                                    boost::intrusive::equal<Same>,
                                    boost::intrusive::power_2_buckets<true>>;
  using Order = boost::intrusive::list<Entry>;

  Entry& TakeFree()
  {
    if (mFree.empty()) {
      return mStorage.emplace_back();
    }
    Entry& entry = mFree.front();
    mFree.pop_front();
    return entry;
  }

  std::size_t mCapacity;
  std::vector<typename Index::bucket_type> mBuckets;
  Index mIndex;
  std::array<Order, 2> mOrder;
  Order mFree;
  std::deque<Entry> mStorage;
};

} // namespace heatherplank
