#pragma once

#include <charconv>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "src/net/Endpoint.h"
#include "src/net/HttpServer.h"
#include "tests/FakeObjectStore.h"

namespace heatherplank {

/** Serves FakeObjectStore over the HTTP API of docs/CONTRACTS.md, without
 * watches, on a separate thread. */
class HttpPlatform
{
public:
  HttpPlatform()
    : mWork(boost::asio::make_work_guard(mContext))
  {
    auto handler = [this](const HttpRequest& aRequest,
                          const HttpServer::Respond& aRespond) {
      aRespond(Answer(aRequest));
    };
    mServer = HttpServer::Make(mContext.get_executor(),
                               ParseAddress("127.0.0.1:0").value(), handler)
                .value();
    mThread = std::thread([this] { mContext.run(); });
  }

  ~HttpPlatform()
  {
    mServer->Stop();
    mContext.stop();
    mThread.join();
  }

  std::string Where() const { return mServer->Local().ToString(); }

  /** Change it only while no call is on its way. */
  FakeObjectStore mObjects;

private:
  static std::uint64_t TagOf(std::string_view aTag)
  {
    std::uint64_t out = 0;
    std::from_chars(aTag.data() + 1, aTag.data() + aTag.size(), out);
    return out;
  }

  HttpResponse Answer(const HttpRequest& aRequest)
  {
    std::string target(aRequest.target());
    static const std::string kListing = "/v1/objects?prefix=";
    if (target.starts_with(kListing)) {
      return List(aRequest, target.substr(kListing.size()));
    }
    std::string key = target.substr(std::string("/v1/objects/").size());
    HttpResponse out =
      MakeResponse(aRequest, http::status::ok, "text/plain", "");
    auto tag = [&out](StoreVersion aVersion) {
      out.set(http::field::etag,
              "\"" + std::to_string(aVersion.mRevision) + "\"");
      out.set("Content-Era", std::to_string(aVersion.mEra));
    };
    auto written = [&](const Result<StoreVersion>& aResult) {
      aResult ? tag(*aResult) : Fault(out, aResult.error());
    };
    if (aRequest.method() == http::verb::put) {
      mObjects.Put(key, aRequest.body(), Condition(aRequest), written);
    } else if (aRequest.method() == http::verb::delete_) {
      mObjects.Delete(key, Condition(aRequest), written);
    } else {
      mObjects.Get(key, [&](const Result<Object>& aResult) {
        if (aResult) {
          tag(aResult->mVersion);
          out.body() = aResult->mValue;
        } else {
          Fault(out, aResult.error());
        }
      });
    }
    out.prepare_payload();
    return out;
  }

  WriteCondition Condition(const HttpRequest& aRequest) const
  {
    if (aRequest.count(http::field::if_none_match) != 0) {
      return WriteCondition::IfAbsent();
    }
    std::string_view tag = aRequest[http::field::if_match];
    return tag.empty()
             ? WriteCondition::Always()
             : WriteCondition::IfVersion({ TagOf(tag), mObjects.mEra });
  }

  static void Fault(HttpResponse& aOut, const Error& aError)
  {
    aOut.result(aError.mKind == ErrorKind::NotFound   ? 404
                : aError.mKind == ErrorKind::Conflict ? 412
                : aError.mKind == ErrorKind::Timeout  ? 500
                                                      : 503);
  }

  HttpResponse List(const HttpRequest& aRequest, const std::string& aPrefix)
  {
    boost::json::array out;
    for (const auto& [key, object] : mObjects.mObjects) {
      if (key.starts_with(aPrefix)) {
        out.push_back(
          { { "key", key }, { "version", object.mVersion.mRevision } });
      }
    }
    return MakeResponse(aRequest, http::status::ok, "application/json",
                        boost::json::serialize(out));
  }

  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork;
  std::shared_ptr<HttpServer> mServer;
  std::thread mThread;
};

} // namespace heatherplank
