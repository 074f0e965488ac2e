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

/** A version whose transfer is under way or complete: its head, and the parts
 * received so far. Parts are shared between versions. Not thread safe.
 */
class ConfigTransfer
{
public:
  using Part = std::shared_ptr<const std::string>;

  ConfigTransfer() = default;

  /** Begins a transfer; parts that aPrevious has are reused. */
  ConfigTransfer(ConfigurationHead aHead, const ConfigTransfer& aPrevious);

  const ConfigurationHead& Head() const { return mHead; }
  std::uint64_t Version() const { return mHead.mVersion; }
  /** Hash of the head's text; all zero for "no version". */
  const PartHash& Root() const { return mRoot; }
  const std::string& Text() const { return mText; }

  /** Adds a part; false if it is not one of the missing ones. */
  bool AddPart(std::string aPart);
  bool IsComplete() const { return mMissing.empty() && Version() != 0; }
  const std::map<PartHash, PartRef>& Missing() const { return mMissing; }
  /** Returns a part, or null if it was not received. */
  Part FindPart(const PartHash& aHash) const;

  /** Assembles and validates the configuration. Precondition: IsComplete(). */
  Result<ConfigurationPtr> Assemble(ConfigurationAssembler& aAssembler) const;

  /** Makes an offer of this version, with the changes from aBase if few. */
  ConfigOffer MakeOffer(const ConfigTransfer& aBase) const;

  /** Applies an offer's changes to this head; none if the offer has another
   * base or the result does not have the offered hash. */
  std::optional<ConfigurationHead> ApplyOffer(const ConfigOffer& aOffer) const;

private:
  ConfigurationHead mHead;
  std::string mText;
  PartHash mRoot;
  std::map<PartHash, Part> mParts;
  std::map<PartHash, PartRef> mMissing;
};

} // namespace heatherplank
