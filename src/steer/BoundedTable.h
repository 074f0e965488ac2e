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

/** A map from flow to Value with a fixed capacity, in least-recently-used
 * order. Entries have stable addresses and are reused when freed, so the steady
 * state does not allocate.
 *
 * An entry is evictable or pinned; each of these classes has its own order. The
 * table itself evicts nothing. Not thread safe.
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
    bool mPinned = false;
    Time mLastUsedAt;
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
    auto it = mIndex.find(aFlow, FlowHasher{}, EqualFlow{});
    return it == mIndex.end() ? nullptr : &*it;
  }

  /** Adds an evictable entry; null if the table is full. Precondition: the flow
   * is not in the table.
   */
  Entry* Insert(const FlowKey& aFlow, Time aNow)
  {
    if (IsFull()) {
      return nullptr;
    }
    Entry& entry = AllocateEntry();
    entry.mFlow = aFlow;
    entry.mInUse = true;
    entry.mPinned = false;
    entry.mLastUsedAt = aNow;
    entry.mValue = Value{};
    mIndex.insert(entry);
    mOrder[0].push_back(entry);
    return &entry;
  }

  /** Finds and touches, or inserts; null if absent and the table is full. */
  Entry* FindOrInsert(const FlowKey& aFlow, Time aNow)
  {
    Entry* entry = Find(aFlow);
    if (entry == nullptr) {
      return Insert(aFlow, aNow);
    }
    Touch(*entry, aNow);
    return entry;
  }

  /** Makes an entry the most recently used of its class. */
  void Touch(Entry& aEntry, Time aNow)
  {
    auto& order = mOrder[aEntry.mPinned ? 1 : 0];
    aEntry.mLastUsedAt = aNow;
    order.splice(order.end(), order, order.iterator_to(aEntry));
  }

  /** Makes an entry pinned, for the rest of its lifetime. */
  void Pin(Entry& aEntry)
  {
    if (!aEntry.mPinned) {
      aEntry.mPinned = true;
      mOrder[1].splice(mOrder[1].end(), mOrder[0],
                       mOrder[0].iterator_to(aEntry));
    }
  }

  void Erase(Entry& aEntry)
  {
    mIndex.erase(mIndex.iterator_to(aEntry));
    auto& order = mOrder[aEntry.mPinned ? 1 : 0];
    order.erase(order.iterator_to(aEntry));
    aEntry.mInUse = false;
    aEntry.mValue = Value{};
    mFree.push_back(aEntry);
  }

  /** The least recently used of the evictable or of the pinned entries; null if
   * there is none.
   */
  Entry* Oldest(bool aPinned = false)
  {
    auto& order = mOrder[aPinned ? 1 : 0];
    return order.empty() ? nullptr : &order.front();
  }

  /** Erases entries that were last used before aBefore, oldest first. aGone is
   * called with each one; if it returns false, the entry is touched at aNow
   * instead. Checks at most aLimit entries of each class.
   */
  template<typename Fn>
  void Expire(Time aBefore, Time aNow, Fn&& aGone, std::size_t aLimit = 4096)
  {
    for (bool pinned : { false, true }) {
      for (std::size_t n = 0; n < aLimit; ++n) {
        Entry* oldest = Oldest(pinned);
        if (oldest == nullptr || oldest->mLastUsedAt >= aBefore) {
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

  /** Number of allocated slots, for iteration with At. */
  std::size_t Slots() const { return mStorage.size(); }

  /** The entry in a slot below Slots(), or null if the slot is free. */
  Entry* At(std::size_t aSlot)
  {
    Entry& entry = mStorage[aSlot];
    return entry.mInUse ? &entry : nullptr;
  }

  /** Bytes of one entry with its share of the index, in a full table. */
  static constexpr std::size_t BytesPerEntry()
  {
    return sizeof(Entry) + sizeof(typename Index::bucket_type);
  }

private:
  struct FlowHasher
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
  struct EqualFlow
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
    boost::intrusive::unordered_set<Entry, boost::intrusive::hash<FlowHasher>,
                                    boost::intrusive::equal<EqualFlow>,
                                    boost::intrusive::power_2_buckets<true>>;
  using Order = boost::intrusive::list<Entry>;

  Entry& AllocateEntry()
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
