#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "include/heatherplank/ObjectStore.h"

namespace heatherplank {

/** Fault to inject into a write. */
enum class WriteFault
{
  None,
  /** The write takes effect, but its response is lost. */
  LostAnswer,
  /** No response; the write takes effect at the next call. */
  Late,
  /** The write never arrives; no response. */
  LostRequest,
  /** The platform rejects the write, which has no effect. */
  Refused,
};

/** An in-memory store that responds at once, with faults on demand. */
class FakeObjectStore : public ObjectStore
{
public:
  /** Decides the fault of each write; none if empty. */
  std::function<WriteFault(const std::string& aKey)> mOnWrite;
  /** Runs before a read or write of a key, such as a concurrent writer. */
  std::function<void(const std::string& aKey)> mBefore;
  /** Number of reads that return the value before the newest. */
  int mStaleReads = 0;
  /** Reads fail with a timeout. */
  bool mLosesReads = false;
  int mCalls = 0;
  /** Reported with each version (StoreVersion). */
  std::uint64_t mEra = 0;

  std::map<std::string, Object> mObjects;

  void Get(std::string_view aKey, Done<Object> aDone) override
  {
    BeginCall(std::string(aKey));
    if (mLosesReads) {
      aDone(Fail(ErrorKind::Timeout, "no answer", "read back"));
      return;
    }
    auto it = mObjects.find(std::string(aKey));
    auto old = mPrevious.find(std::string(aKey));
    if (mStaleReads > 0 && old != mPrevious.end()) {
      --mStaleReads;
      aDone(old->second);
    } else if (it == mObjects.end()) {
      aDone(Fail(ErrorKind::NotFound, "no object", ""));
    } else {
      aDone(it->second);
    }
  }

  void Put(std::string_view aKey, std::string aValue, WriteCondition aCondition,
           Done<StoreVersion> aDone) override
  {
    std::string key(aKey);
    BeginCall(key);
    WriteFault fault = mOnWrite ? mOnWrite(key) : WriteFault::None;
    auto write = [this, key, aValue, aCondition] {
      return Write(key, aValue, aCondition);
    };
    switch (fault) {
      case WriteFault::None:
        aDone(write());
        return;
      case WriteFault::Refused:
        aDone(Fail(ErrorKind::Unavailable, "refused", "later"));
        return;
      case WriteFault::LostAnswer:
        write();
        break;
      case WriteFault::Late:
        mDelayedWrites.push_back(write);
        break;
      case WriteFault::LostRequest:
        break;
    }
    aDone(Fail(ErrorKind::Timeout, "no answer", "read back"));
  }

  void Delete(std::string_view aKey, WriteCondition aCondition,
              Done<StoreVersion> aDone) override
  {
    std::string key(aKey);
    BeginCall(key);
    auto it = mObjects.find(key);
    if (it == mObjects.end()) {
      aDone(Fail(ErrorKind::NotFound, "no object", ""));
    } else if (!Holds(key, aCondition)) {
      aDone(Fail(ErrorKind::Conflict, "other version", ""));
    } else {
      mObjects.erase(it);
      aDone(StoreVersion{ ++mVersion, mEra });
    }
  }

  void Watch(std::string_view, StoreVersion, Duration,
             Done<std::optional<Object>> aDone) override
  {
    aDone(Fail(ErrorKind::Unavailable, "the fake store has no watches", ""));
  }

  void List(std::string_view aPrefix,
            Done<std::vector<ObjectName>> aDone) override
  {
    BeginCall(std::string(aPrefix));
    std::vector<ObjectName> out;
    for (const auto& [key, object] : mObjects) {
      if (key.starts_with(aPrefix)) {
        out.push_back({ key, object.mVersion });
      }
    }
    aDone(out);
  }

  StoreVersion LastSeenVersion() const override { return { mVersion, mEra }; }

private:
  void BeginCall(const std::string& aKey)
  {
    ++mCalls;
    if (mBefore) {
      mBefore(aKey);
    }
    auto delayed = std::exchange(mDelayedWrites, {});
    for (const auto& it : delayed) {
      it();
    }
  }

  bool Holds(const std::string& aKey, const WriteCondition& aCondition) const
  {
    auto it = mObjects.find(aKey);
    switch (aCondition.mKind) {
      case WriteCondition::Kind::Always:
        return true;
      case WriteCondition::Kind::IfAbsent:
        return it == mObjects.end();
      case WriteCondition::Kind::IfVersion:
        return it != mObjects.end() &&
               it->second.mVersion == aCondition.mVersion;
    }
    return false;
  }

  Result<StoreVersion> Write(const std::string& aKey, const std::string& aValue,
                             const WriteCondition& aCondition)
  {
    if (!Holds(aKey, aCondition)) {
      return Fail(ErrorKind::Conflict, "other version", "");
    }
    if (mObjects.contains(aKey)) {
      mPrevious[aKey] = mObjects[aKey];
    }
    mObjects[aKey] = { aKey, aValue, { ++mVersion, mEra } };
    return StoreVersion{ mVersion, mEra };
  }

  std::uint64_t mVersion = 0;
  std::map<std::string, Object> mPrevious;
  std::vector<std::function<void()>> mDelayedWrites;
};

} // namespace heatherplank
