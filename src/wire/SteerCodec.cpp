#include "src/wire/SteerCodec.h"

#include <algorithm>
#include <array>
#include <variant>
#include <vector>

#include "src/wire/WireAddress.h"
#include "src/wire/steer_generated.h"

namespace heatherplank {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;

wire::WirePeer ToWire(const Peer& aPeer)
{
  return { aPeer.mHost.mValue, aPeer.mIncarnation,
           heatherplank::ToWire(aPeer.mTunnel) };
}

Peer FromWire(const wire::WirePeer& aPeer)
{
  return { { aPeer.host() },
           aPeer.incarnation(),
           heatherplank::FromWire(aPeer.tunnel()) };
}

Peer FromWire(const wire::WirePeer* aPeer)
{
  return aPeer != nullptr ? FromWire(*aPeer) : Peer{};
}

std::vector<wire::WireClaimedFlow> ToWire(
  const std::vector<ClaimedFlow>& aFlows)
{
  std::vector<wire::WireClaimedFlow> out;
  out.reserve(aFlows.size());
  for (const ClaimedFlow& it : aFlows) {
    out.emplace_back(heatherplank::ToWire(it.mFlow), it.mEpoch, it.mMoves,
                     it.mAccepted);
  }
  return out;
}

std::vector<ClaimedFlow> FromWire(
  const flatbuffers::Vector<const wire::WireClaimedFlow*>& aFlows)
{
  std::vector<ClaimedFlow> out;
  out.reserve(aFlows.size());
  for (const wire::WireClaimedFlow* it : aFlows) {
    out.push_back({ heatherplank::FromWire(it->flow()), it->epoch(),
                    it->moves(), it->accepted() });
  }
  return out;
}

void Build(Builder& aBuilder, const Ask& aAsk)
{
  auto flow = heatherplank::ToWire(aAsk.mFlow);
  auto from = ToWire(aAsk.mFrom);
  aBuilder.Finish(wire::CreateAsk(aBuilder, &flow, &from, aAsk.mRound,
                                  static_cast<std::uint8_t>(aAsk.mPurpose),
                                  aAsk.mEpoch));
}

void Build(Builder& aBuilder, const AskReply& aReply)
{
  auto flow = heatherplank::ToWire(aReply.mFlow);
  auto from = ToWire(aReply.mFrom);
  auto owner = ToWire(aReply.mOwner);
  auto verdict = static_cast<std::uint8_t>(aReply.mVerdict);
  aBuilder.Finish(wire::CreateAskReply(aBuilder, &flow, &from, aReply.mRound,
                                       verdict, &owner, aReply.mEpoch,
                                       aReply.mMoves, aReply.mJustPlaced));
}

void Build(Builder& aBuilder, const Claim& aClaim)
{
  auto from = ToWire(aClaim.mFrom);
  auto flows = aBuilder.CreateVectorOfStructs(ToWire(aClaim.mFlows));
  aBuilder.Finish(wire::CreateClaim(aBuilder, &from, flows));
}

void Build(Builder& aBuilder, const ClaimAck& aAck)
{
  auto from = ToWire(aAck.mFrom);
  auto flows = aBuilder.CreateVectorOfStructs(ToWire(aAck.mFlows));
  aBuilder.Finish(wire::CreateClaimAck(aBuilder, &from, flows));
}

void Build(Builder& aBuilder, const Hint& aHint)
{
  auto flow = heatherplank::ToWire(aHint.mFlow);
  auto owner = ToWire(aHint.mOwner);
  aBuilder.Finish(wire::CreateHint(aBuilder, &flow, aHint.mFrom.mValue, &owner,
                                   aHint.mEpoch, aHint.mDeclines));
}

void Build(Builder& aBuilder, const HandOff& aHandOff)
{
  auto flow = heatherplank::ToWire(aHandOff.mFlow);
  auto from = ToWire(aHandOff.mFrom);
  auto state =
    aBuilder.CreateVector(aHandOff.mState.data(), aHandOff.mState.size());
  aBuilder.Finish(wire::CreateHandOff(
    aBuilder, &flow, &from, aHandOff.mToIncarnation, aHandOff.mEpoch,
    aHandOff.mMoves, aHandOff.mAttempt, aHandOff.mEstablished, state));
}

void Build(Builder& aBuilder, const HandOffAck& aAck)
{
  auto flow = heatherplank::ToWire(aAck.mFlow);
  auto from = ToWire(aAck.mFrom);
  aBuilder.Finish(wire::CreateHandOffAck(aBuilder, &flow, &from, aAck.mEpoch,
                                         aAck.mAttempt, aAck.mAccepted));
}

Result<OwnershipMessage> Read(const wire::Ask& aFrom)
{
  if (aFrom.purpose() > static_cast<std::uint8_t>(AskPurpose::Reconfirm)) {
    return MalformedMessage("flow owner query (unknown purpose)");
  }
  return Ask{ heatherplank::FromWire(*aFrom.flow()), FromWire(*aFrom.from()),
              aFrom.round(), static_cast<AskPurpose>(aFrom.purpose()),
              aFrom.epoch() };
}

Result<OwnershipMessage> Read(const wire::AskReply& aFrom)
{
  if (aFrom.verdict() > static_cast<std::uint8_t>(AskVerdict::Asking)) {
    return MalformedMessage("flow owner reply (unknown result)");
  }
  return AskReply{ heatherplank::FromWire(*aFrom.flow()),
                   FromWire(*aFrom.from()),
                   aFrom.round(),
                   static_cast<AskVerdict>(aFrom.verdict()),
                   FromWire(aFrom.owner()),
                   aFrom.epoch(),
                   aFrom.moves(),
                   aFrom.just_placed() };
}

template<typename Out, typename From>
Result<OwnershipMessage> ReadClaims(const From& aFrom)
{
  if (aFrom.flows()->size() > kMaxFlowsPerClaim) {
    return MalformedMessage("flow claim (too many flows)");
  }
  return Out{ FromWire(*aFrom.from()), FromWire(*aFrom.flows()) };
}

Result<OwnershipMessage> Read(const wire::Claim& aFrom)
{
  return ReadClaims<Claim>(aFrom);
}

Result<OwnershipMessage> Read(const wire::ClaimAck& aFrom)
{
  return ReadClaims<ClaimAck>(aFrom);
}

Result<OwnershipMessage> Read(const wire::Hint& aFrom)
{
  return Hint{ heatherplank::FromWire(*aFrom.flow()),
               { aFrom.from() },
               FromWire(aFrom.owner()),
               aFrom.epoch(),
               aFrom.declines() };
}

Result<OwnershipMessage> Read(const wire::HandOff& aFrom)
{
  return HandOff{ heatherplank::FromWire(*aFrom.flow()),
                  FromWire(*aFrom.from()),
                  aFrom.to_incarnation(),
                  aFrom.epoch(),
                  aFrom.moves(),
                  aFrom.attempt(),
                  aFrom.established(),
                  ByteView(aFrom.state()->data(), aFrom.state()->size()) };
}

Result<OwnershipMessage> Read(const wire::HandOffAck& aFrom)
{
  return HandOffAck{ heatherplank::FromWire(*aFrom.flow()),
                     FromWire(*aFrom.from()), aFrom.epoch(), aFrom.attempt(),
                     aFrom.accepted() };
}

template<typename Table>
Result<OwnershipMessage> ReadAs(ByteView aPayload)
{
  auto root = ReadRoot<Table>(aPayload, "flow ownership message");
  if (!root) {
    return tl::unexpected(root.error());
  }
  return Read(**root);
}

/** In the order of OwnershipMessage's alternatives. */
constexpr std::array kKinds{
  MessageKind::Ask,        MessageKind::AskReply, MessageKind::Claim,
  MessageKind::ClaimAck,   MessageKind::Hint,     MessageKind::HandOff,
  MessageKind::HandOffAck,
};
static_assert(kKinds.size() == std::variant_size_v<OwnershipMessage>);

} // namespace

bool IsOwnershipMessage(MessageKind aKind)
{
  return std::find(kKinds.begin(), kKinds.end(), aKind) != kKinds.end();
}

MessageKind KindOf(const OwnershipMessage& aMessage)
{
  return kKinds[aMessage.index()];
}

Bytes EncodeOwnershipPayload(const OwnershipMessage& aMessage)
{
  Builder builder(512);
  std::visit([&](const auto& aIt) { Build(builder, aIt); }, aMessage);
  ByteView bytes = Finished(builder);
  return { bytes.begin(), bytes.end() };
}

Bytes EncodeOwnershipMessage(const OwnershipMessage& aMessage)
{
  Builder builder(512);
  std::visit([&](const auto& aIt) { Build(builder, aIt); }, aMessage);
  return EncodeDatagram(KindOf(aMessage), Finished(builder));
}

Result<OwnershipMessage> DecodeOwnershipMessage(MessageKind aKind,
                                                ByteView aPayload)
{
  switch (aKind) {
    case MessageKind::Ask:
      return ReadAs<wire::Ask>(aPayload);
    case MessageKind::AskReply:
      return ReadAs<wire::AskReply>(aPayload);
    case MessageKind::Claim:
      return ReadAs<wire::Claim>(aPayload);
    case MessageKind::ClaimAck:
      return ReadAs<wire::ClaimAck>(aPayload);
    case MessageKind::Hint:
      return ReadAs<wire::Hint>(aPayload);
    case MessageKind::HandOff:
      return ReadAs<wire::HandOff>(aPayload);
    case MessageKind::HandOffAck:
      return ReadAs<wire::HandOffAck>(aPayload);
    default:
      return MalformedMessage("flow ownership message (unexpected kind)");
  }
}

FlowKey FlowOf(const OwnershipMessage& aMessage)
{
  return std::visit(
    [](const auto& aIt) {
      if constexpr (requires { aIt.mFlows; }) {
        return aIt.mFlows.empty() ? FlowKey{} : aIt.mFlows.front().mFlow;
      } else {
        return aIt.mFlow;
      }
    },
    aMessage);
}

} // namespace heatherplank
