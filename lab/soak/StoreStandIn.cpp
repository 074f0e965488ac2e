#include "lab/soak/StoreStandIn.h"

#include <algorithm>
#include <cstdlib>

#include <boost/json.hpp>

namespace heatherplank::lab {

namespace json = boost::json;

namespace {

constexpr std::string_view kObjects = "/api/objects/";
/** Objects of one page of a list. */
constexpr std::size_t kPage = 5;

struct Target
{
  std::string mKind;
  std::string mName;
  std::map<std::string, std::string> mQuery;
};

Target Split(const std::string& aTarget)
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

std::uint64_t Number(const Target& aTarget, const char* aKey)
{
  auto it = aTarget.mQuery.find(aKey);
  return it == aTarget.mQuery.end()
           ? 0
           : std::strtoull(it->second.c_str(), nullptr, 10);
}

HttpResponse Answer(const HttpRequest& aRequest, http::status aStatus,
                    const json::value& aBody)
{
  return MakeResponse(aRequest, aStatus, "application/json",
                      json::serialize(aBody));
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

json::value StoreStandIn::ToJson(const std::string& aName,
                                 const Stored& aStored) const
{
  return json::object{ { "meta", json::object{ { "Name", aName },
                                               { "Rev", aStored.mRevision } } },
                       { "spec", aStored.mSpec },
                       { "status", nullptr } };
}

void StoreStandIn::Note(const std::string& aKind, const std::string& aName,
                        bool aDeleted)
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
  Note(aKind, aName, false);
}

void StoreStandIn::Compact()
{
  mHistory.clear();
  mForgotten = mRevision;
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
    // Held, so that the connection stays open without a word.
    auto timer = std::make_shared<boost::asio::steady_timer>(
      mExecutor, std::chrono::seconds(30));
    timer->async_wait([timer, aRespond](boost::system::error_code) {});
    return;
  }
  if (mFaults.mBusy || mFaults.mMany) {
    aRespond(Answer(aRequest,
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
  Target target = Split(std::string(aRequest.target()));
  if (aRequest.method() != http::verb::get) {
    auto answer = Change(aRequest, target.mKind, target.mName);
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
  BeginWatch(aRequest, target.mKind, Number(target, "Watch"),
             std::chrono::milliseconds(Number(target, "WaitMs")), aRespond);
}

HttpResponse StoreStandIn::Read(const HttpRequest& aRequest,
                                const std::string& aKind,
                                const std::string& aName,
                                const std::string& aAfter)
{
  auto& objects = mObjects[aKind];
  if (!aName.empty()) {
    auto it = objects.find(aName);
    return it == objects.end()
             ? Answer(aRequest, http::status::not_found, json::object{})
             : Answer(aRequest, http::status::ok, ToJson(aName, it->second));
  }
  json::array items;
  auto it = aAfter.empty() ? objects.begin() : objects.upper_bound(aAfter);
  for (; it != objects.end() && items.size() < kPage; ++it) {
    items.push_back(ToJson(it->first, it->second));
  }
  return Answer(aRequest, http::status::ok,
                json::object{ { "items", std::move(items) },
                              { "HasMore", it != objects.end() },
                              { "At", mRevision } });
}

HttpResponse StoreStandIn::Change(const HttpRequest& aRequest,
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
  bool there = it != objects.end();
  bool conflict = (creates && there) ||
                  (expected != 0 && there && it->second.mRevision != expected);
  if (conflict) {
    return Answer(aRequest, http::status::conflict, ToJson(name, it->second));
  }
  if (!creates && !there) {
    return Answer(aRequest, http::status::not_found, json::object{});
  }
  ++mRevision;
  if (aRequest.method() == http::verb::delete_) {
    json::value last = ToJson(name, it->second);
    objects.erase(it);
    Note(aKind, name, true);
    return Answer(aRequest, http::status::ok, last);
  }
  objects[name] = { mRevision, object != nullptr && object->contains("spec")
                                 ? object->at("spec")
                                 : json::value(nullptr) };
  Note(aKind, name, false);
  return Answer(aRequest, http::status::ok, ToJson(name, objects[name]));
}

void StoreStandIn::BeginWatch(const HttpRequest& aRequest,
                              const std::string& aKind, std::uint64_t aAfter,
                              Duration aWait, HttpServer::Respond aRespond)
{
  if (aAfter < mForgotten) {
    aRespond(Answer(aRequest, http::status::gone, json::object{}));
    return;
  }
  auto timer = std::make_unique<boost::asio::steady_timer>(mExecutor, aWait);
  mWatches.push_back(
    { aRequest, aKind, aAfter, std::move(aRespond), std::move(timer) });
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

bool StoreStandIn::AnswerWatch(Watch& aWatch, bool aTimeIsUp)
{
  json::array events;
  for (const auto& it : mHistory) {
    if (it.mKind == aWatch.mKind && it.mRevision > aWatch.mAfter) {
      events.push_back(it.mEvent);
    }
  }
  if (events.empty() && !aTimeIsUp) {
    return false;
  }
  aWatch.mRespond(Answer(
    aWatch.mRequest, http::status::ok,
    json::object{ { "events", std::move(events) }, { "At", mRevision } }));
  return true;
}

} // namespace heatherplank::lab
