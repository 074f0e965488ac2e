#pragma once

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "include/heatherplank/Configuration.h"
#include "src/config/ConfigMessages.h"
#include "src/config/ConfigurationAssembler.h"

namespace heatherplank {

/** A version being completed, or complete: its head and those of its parts
 * that are there. Parts are shared between versions. Not thread safe.
 */
class ConfigTransfer
{
public:
  using Part = std::shared_ptr<const std::string>;

  ConfigTransfer() = default;

  /** Begins a version; parts that aFrom already has are taken over. */
  ConfigTransfer(ConfigurationHead aHead, const ConfigTransfer& aFrom);

  const ConfigurationHead& Head() const { return mHead; }
  std::uint64_t Version() const { return mHead.mVersion; }
  /** Hash of the head's text; all zero for "no version". */
  const PartHash& Root() const { return mRoot; }
  const std::string& Text() const { return mText; }

  /** Takes a part in if it is one of those that are missing. */
  bool Add(std::string aPart);
  bool IsComplete() const { return mMissing.empty() && Version() != 0; }
  const std::map<PartHash, PartRef>& Missing() const { return mMissing; }
  /** A part that is there, or null. */
  Part Find(const PartHash& aHash) const;

  /** Checks the whole and makes the configuration. Precondition: complete. */
  Result<ConfigurationPtr> Assemble(ConfigurationAssembler& aAssembler) const;

  /** An offer of this version with the changes from aBase, if they are few. */
  ConfigOffer MakeOffer(const ConfigTransfer& aBase) const;

  /** The head that an offer's changes lead to from this one; none if they
   * begin elsewhere or do not give the offered root. */
  std::optional<ConfigurationHead> ApplyOffer(const ConfigOffer& aOffer) const;

private:
  ConfigurationHead mHead;
  std::string mText;
  PartHash mRoot;
  std::map<PartHash, Part> mParts;
  std::map<PartHash, PartRef> mMissing;
};

} // namespace heatherplank
