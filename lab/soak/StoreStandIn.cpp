#include "lab/soak/StoreStandIn.h"

#include <algorithm>
#include <cstdlib>

#include <boost/json.hpp>

namespace heatherplank::lab {

namespace json = boost::json;

namespace {

constexpr std::string_view kObjects = "/api/objects/";
/** Objects per page of a list. */
constexpr std::size_t kPageSize = 5;

struct Target
{
  std::string mKind;
  std::string mName;
  std::map<std::string, std::string> mQuery;
};

Target ParseTarget(const std::string& aTarget)
{
  Target out;
  auto mark = aTarget.find('?');
  std::string query = mark == std::string::npos ? "" : aTarget.substr(mark + 1);
  std::string path = aTarget.substr(0, mark);
  while (!query.empty()) {
    auto end = query.find('&');
    std::string part = query.substr(0, end);
    auto equals = part.find('=');
    if (equals != std::string::npos) {
      out.mQuery[part.substr(0, equals)] = part.substr(equals + 1);
    }
    query = end == std::string::npos ? "" : query.substr(end + 1);
  }
  path = path.starts_with(kObjects) ? path.substr(kObjects.size()) : "";
  auto slash = path.find('/');
  out.mKind = path.substr(0, slash);
  out.mName = slash == std::string::npos ? "" : path.substr(slash + 1);
  return out;
}

std::uint64_t NumericParameter(const Target& aTarget, const char* aKey)
{
  auto it = aTarget.mQuery.find(aKey);
  return it == aTarget.mQuery.end()
           ? 0
           : std::strtoull(it->second.c_str(), nullptr, 10);
}

} // namespace

StoreStandIn::StoreStandIn(boost::asio::any_io_executor aExecutor)
  : mExecutor(std::move(aExecutor))
{
}

StoreStandIn::~StoreStandIn() = default;

Result<void> StoreStandIn::Listen(const Address& aAddress)
{
  auto server = HttpServer::Make(
    mExecutor, aAddress,
    [this](const HttpRequest& aRequest, const HttpServer::Respond& aRespond) {
      Handle(aRequest, aRespond);
    });
  if (!server) {
    return tl::unexpected(server.error());
  }
  mServer = *server;
  return {};
}

HttpResponse StoreStandIn::Respond(const HttpRequest& aRequest,
                                   http::status aStatus,
                                   const json::value& aBody) const
{
  auto out =
    MakeResponse(aRequest, aStatus, "application/json", json::serialize(aBody));
  out.set("Store-Era", std::to_string(mEra - mFaults.mErasBehind));
  return out;
}

json::value StoreStandIn::ToJson(const std::string& aName,
                                 const StoredObject& aObject) const
{
  return json::object{ { "meta", json::object{ { "Name", aName },
                                               { "Rev", aObject.mRevision } } },
                       { "spec", aObject.mSpec },
                       { "status", nullptr } };
}

void StoreStandIn::RecordChange(const std::string& aKind,
                                const std::string& aName, bool aDeleted)
{
  json::object event{ { "Deleted", aDeleted } };
  event["Object"] =
    aDeleted ? json::value(json::object{ { "meta", { { "Name", aName } } } })
             : ToJson(aName, mObjects[aKind][aName]);
  mHistory.push_back({ mRevision, aKind, std::move(event) });
  for (auto it = mWatches.begin(); it != mWatches.end();) {
    it = AnswerWatch(*it, false) ? mWatches.erase(it) : std::next(it);
  }
}

void StoreStandIn::Write(const std::string& aKind, const std::string& aName,
                         json::value aSpec)
{
  mObjects[aKind][aName] = { ++mRevision, std::move(aSpec) };
  RecordChange(aKind, aName, false);
}

void StoreStandIn::Compact()
{
  mHistory.clear();
  mCompactedRevision = mRevision;
}

void StoreStandIn::KeepCopy()
{
  mCopy = { mObjects, mRevision };
}

void StoreStandIn::RestoreFromCopy()
{
  mObjects = mCopy.mObjects;
  mRevision = mCopy.mRevision;
  mHistory.clear();
  mCompactedRevision = mRevision;
  ++mEra;
  CutWatches();
}

void StoreStandIn::CutWatches()
{
  mWatches.clear();
}

void StoreStandIn::Handle(const HttpRequest& aRequest,
                          const HttpServer::Respond& aRespond)
{
  ++mCalls;
  if (mFaults.mSilent) {
    // The timer holds the responder, so the connection stays open unanswered.
    auto timer = std::make_shared<boost::asio::steady_timer>(
      mExecutor, std::chrono::seconds(30));
    timer->async_wait([timer, aRespond](boost::system::error_code) {});
    return;
  }
  if (mFaults.mBusy || mFaults.mMany) {
    aRespond(Respond(aRequest,
                     mFaults.mBusy ? http::status::service_unavailable
                                   : http::status::too_many_requests,
                     json::object{}));
    return;
  }
  if (mFaults.mDelay == Duration::zero()) {
    Serve(aRequest, aRespond);
    return;
  }
  auto timer =
    std::make_shared<boost::asio::steady_timer>(mExecutor, mFaults.mDelay);
  timer->async_wait(
    [this, timer, aRequest, aRespond](boost::system::error_code) {
      Serve(aRequest, aRespond);
    });
}

void StoreStandIn::Serve(const HttpRequest& aRequest,
                         const HttpServer::Respond& aRespond)
{
  Target target = ParseTarget(std::string(aRequest.target()));
  if (aRequest.method() != http::verb::get) {
    auto answer = ApplyWrite(aRequest, target.mKind, target.mName);
    if (!mFaults.mLosesAnswers) {
      aRespond(std::move(answer));
    }
    return;
  }
  if (!target.mQuery.contains("Watch")) {
    aRespond(
      Read(aRequest, target.mKind, target.mName, target.mQuery["after"]));
    return;
  }
  BeginWatch(aRequest, target.mKind, NumericParameter(target, "Watch"),
             std::chrono::milliseconds(NumericParameter(target, "WaitMs")),
             aRespond);
}

HttpResponse StoreStandIn::Read(const HttpRequest& aRequest,
                                const std::string& aKind,
                                const std::string& aName,
                                const std::string& aAfterName)
{
  auto& objects = mObjects[aKind];
  if (!aName.empty()) {
    auto it = objects.find(aName);
    return it == objects.end()
             ? Respond(aRequest, http::status::not_found, json::object{})
             : Respond(aRequest, http::status::ok, ToJson(aName, it->second));
  }
  json::array items;
  auto it =
    aAfterName.empty() ? objects.begin() : objects.upper_bound(aAfterName);
  for (; it != objects.end() && items.size() < kPageSize; ++it) {
    items.push_back(ToJson(it->first, it->second));
  }
  return Respond(aRequest, http::status::ok,
                 json::object{ { "items", std::move(items) },
                               { "HasMore", it != objects.end() },
                               { "At", mRevision } });
}

HttpResponse StoreStandIn::ApplyWrite(const HttpRequest& aRequest,
                                      const std::string& aKind,
                                      const std::string& aName)
{
  json::error_code ec;
  auto body = json::parse(aRequest.body(), ec);
  const auto* object = ec ? nullptr : body.if_object();
  const auto* meta = object != nullptr ? object->if_contains("meta") : nullptr;
  bool creates = aRequest.method() == http::verb::post;
  std::string name = aName;
  std::uint64_t expected = 0;
  if (meta != nullptr && meta->is_object()) {
    if (creates) {
      name = std::string(meta->at("Name").as_string());
    }
    if (const auto* rev = meta->get_object().if_contains("Rev")) {
      expected = rev->to_number<std::uint64_t>();
    }
  }
  auto& objects = mObjects[aKind];
  auto it = objects.find(name);
  bool exists = it != objects.end();
  bool conflict = (creates && exists) ||
                  (expected != 0 && exists && it->second.mRevision != expected);
  if (conflict) {
    return Respond(aRequest, http::status::conflict, ToJson(name, it->second));
  }
  if (!creates && !exists) {
    return Respond(aRequest, http::status::not_found, json::object{});
  }
  ++mRevision;
  if (aRequest.method() == http::verb::delete_) {
    json::value last = ToJson(name, it->second);
    objects.erase(it);
    RecordChange(aKind, name, true);
    return Respond(aRequest, http::status::ok, last);
  }
  objects[name] = { mRevision, object != nullptr && object->contains("spec")
                                 ? object->at("spec")
                                 : json::value(nullptr) };
  RecordChange(aKind, name, false);
  return Respond(aRequest, http::status::ok, ToJson(name, objects[name]));
}

void StoreStandIn::BeginWatch(const HttpRequest& aRequest,
                              const std::string& aKind,
                              std::uint64_t aAfterRevision, Duration aWait,
                              HttpServer::Respond aRespond)
{
  if (aAfterRevision < mCompactedRevision || aAfterRevision > mRevision) {
    aRespond(Respond(aRequest, http::status::gone, json::object{}));
    return;
  }
  auto timer = std::make_unique<boost::asio::steady_timer>(mExecutor, aWait);
  mWatches.push_back(
    { aRequest, aKind, aAfterRevision, std::move(aRespond), std::move(timer) });
  Watch& watch = mWatches.back();
  if (AnswerWatch(watch, false)) {
    mWatches.pop_back();
    return;
  }
  watch.mTimer->async_wait([this, &watch](boost::system::error_code aEc) {
    if (aEc) {
      return;
    }
    AnswerWatch(watch, true);
    mWatches.remove_if([&](const Watch& aIt) { return &aIt == &watch; });
  });
}

bool StoreStandIn::AnswerWatch(Watch& aWatch, bool aTimedOut)
{
  json::array events;
  for (const auto& it : mHistory) {
    if (it.mKind == aWatch.mKind && it.mRevision > aWatch.mAfterRevision) {
      events.push_back(it.mEvent);
    }
  }
  if (events.empty() && !aTimedOut) {
    return false;
  }
  aWatch.mRespond(Respond(
    aWatch.mRequest, http::status::ok,
    json::object{ { "events", std::move(events) }, { "At", mRevision } }));
  return true;
}

} // namespace heatherplank::lab
