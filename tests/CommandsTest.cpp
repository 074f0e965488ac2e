#include "src/cli/Commands.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include <gflags/gflags.h>

#include "src/cli/Flags.h"
#include "src/status/StatusView.h"
#include "tests/HttpPlatform.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

using Run = ExitCode (*)(std::span<const std::string>);

std::string Sample(const char* aName)
{
  return std::string(HEATHERPLANK_SOURCE_DIR) + "/examples/" + aName;
}

/** A file in the working directory, removed by the destructor. */
struct TemporaryFile
{
  explicit TemporaryFile(const std::string& aText)
  {
    std::ofstream(mPath) << aText;
  }
  ~TemporaryFile() { std::remove(mPath.c_str()); }
  std::string mPath = "commands-test.json";
};

} // namespace

TEST_GROUP(Commands)
{
  HttpPlatform mPlatform;
  gflags::FlagSaver mFlags;
  std::ostringstream mOut;
  std::ostringstream mErr;

  void setup() override
  {
    FLAGS_platform = mPlatform.Where();
    FLAGS_author = "ana";
    FLAGS_yes = true;
  }

  /** Runs a command and captures its output in mOut and mErr. */
  ExitCode Call(Run aRun, const std::vector<std::string>& aArgs)
  {
    mOut.str("");
    mErr.str("");
    auto* out = std::cout.rdbuf(mOut.rdbuf());
    auto* err = std::cerr.rdbuf(mErr.rdbuf());
    ExitCode code = aRun(aArgs);
    std::cout.rdbuf(out);
    std::cerr.rdbuf(err);
    return code;
  }

  void Expect(ExitCode aCode, const char* aOutput, Run aRun,
              const std::vector<std::string>& aArgs)
  {
    LONGS_EQUAL(static_cast<int>(aCode), static_cast<int>(Call(aRun, aArgs)));
    STRCMP_CONTAINS(aOutput, (mOut.str() + mErr.str()).c_str());
  }
};

TEST(Commands, CommandsManageAConfigurationFromItsFirstVersion)
{
  Expect(ExitCode::Usage, "holds no configuration yet", RunGet, {});
  Expect(ExitCode::Ok, "2 services, no fault", RunCheck,
         { Sample("lakeside.json") });
  Expect(ExitCode::Ok, "+ service cover-desk with 7 hosts", RunApply,
         { Sample("lakeside.json") });
  STRCMP_CONTAINS("Accepted: version 1, written by ana at", mOut.str().c_str());
  Expect(ExitCode::Ok, "Nothing to change", RunApply,
         { Sample("lakeside.json") });
  Expect(ExitCode::Ok, "~ policy: two-choices -> random", RunPolicy,
         { "set", "random" });
  Expect(ExitCode::Ok, "random, in version 2, written by ana", RunPolicy, {});
  Expect(ExitCode::Usage, "use \"random\", \"rendezvous\"", RunPolicy,
         { "set", "best" });
  Expect(ExitCode::Ok, "+ drained host cover-desk-2", RunDrain,
         { "cover-desk-2" });
  FLAGS_undo = true;
  Expect(ExitCode::Ok, "- drained host cover-desk-2", RunDrain,
         { "cover-desk-2" });
  Expect(ExitCode::Ok, "\"version\": 4", RunGet, {});
  Expect(ExitCode::Ok, "Accepted: version 4", RunStatus, {});
  Expect(ExitCode::Ok, "lower is better", RunReport, {});
}

// An operator edits the output of `get` while another one changes the policy.
// The edit is merged; an edit of the policy itself is reported as a conflict.
TEST(Commands, EditOfAnOlderVersionIsMergedOrReportsAConflict)
{
  Call(RunApply, { Sample("lakeside.json") });
  Call(RunGet, {});
  std::string text = mOut.str();
  FLAGS_author = "ben";
  Call(RunPolicy, { "set", "random" });
  auto edit = [&](const std::string& aOld, const std::string& aNew) {
    std::string out = text;
    return out.replace(out.find(aOld), aOld.size(), aNew);
  };
  {
    TemporaryFile file(edit("\"queue_limit\": 512", "\"queue_limit\": 99"));
    Expect(ExitCode::Ok, "~ rule documents of service doc-archive", RunApply,
           { file.mPath });
    STRCMP_CONTAINS("rebased onto a newer version", mOut.str().c_str());
  }
  TemporaryFile file(edit("two-choices", "rendezvous"));
  Expect(ExitCode::Conflict, "written by ben", RunApply, { file.mPath });
  STRCMP_CONTAINS("both changed the policy", mErr.str().c_str());
}

TEST(Commands, ErrorsNameTheCauseAndReturnTheirExitCode)
{
  Expect(ExitCode::Usage, "usage: heatherplank apply FILE", RunApply, {});
  Expect(ExitCode::Usage, "/nowhere.json: can't be read", RunApply,
         { "/nowhere.json" });
  TemporaryFile bad("{\"data_centres\": 3, \"service\": []}");
  Expect(ExitCode::Usage, "service: unknown key; did you mean \"services\"?",
         RunCheck, { bad.mPath });
  STRCMP_CONTAINS("data_centres: found 3", mErr.str().c_str());
  FLAGS_json = true;
  Expect(ExitCode::Usage, "{\"ok\":false,\"faults\":[{\"path\"", RunCheck,
         { bad.mPath });
  FLAGS_json = false;
  FLAGS_platform = "nowhere";
  Expect(ExitCode::Usage, "--platform", RunGet, {});
  FLAGS_platform = "127.0.0.1:1";
  Expect(ExitCode::Unavailable, "check that the server is running there",
         RunGet, {});
  FLAGS_platform = mPlatform.Where();
  FLAGS_if_version = 7;
  Expect(ExitCode::Ok, "", RunCheck, { Sample("lakeside.json") });
  FLAGS_if_version = -1;
  Call(RunApply, { Sample("lakeside.json") });
  FLAGS_if_version = 7;
  Expect(ExitCode::Conflict, "--if-version 1", RunPolicy, { "set", "random" });
}

TEST(Commands, StatusAndReportShowDataWrittenByProcesses)
{
  Call(RunApply, { Sample("lakeside.json") });
  StatusObject status;
  status.mProcesses["b1"] = { "b1", "balancer", "hall-a", 1, 5, 5, "" };
  PolicyFigures& figures = status.mFigures["random"];
  figures.mName = "random";
  figures.mFlowsOpened = 200;
  figures.mFlowsBroken = 1;
  figures.mRefusals["queue_full"] = 3;
  figures.mLatency["high"].Record(5, 10);
  mPlatform.mObjects.Put(StatusKey("hall-a", 0), SerializeStatus(status),
                         WriteCondition::Always(),
                         [](const Result<StoreVersion>&) {});
  CHECK_TRUE(ParseStatus(SerializeStatus(status)).value() == status);
  Expect(ExitCode::Ok, "silent", RunStatus, {});
  Expect(ExitCode::Ok, "refused queue_full: 3", RunReport, {});
  FLAGS_json = true;
  Expect(ExitCode::Ok, "\"flows_broken\":1", RunReport, {});
}

TEST(Commands, StatusShowsLaggingProcessesAndTheirLag)
{
  ConfigurationHead head;
  head.mVersion = 4;
  head.mTimeMs = 1000000;
  StatusObject status;
  status.mProcesses["b1"] = { "b1", "balancer", "a", 4, 1000100, 1009000, "" };
  status.mProcesses["b2"] = { "b2", "balancer", "a", 3, 900000, 1009000, "" };
  StatusView view = MakeStatusView(head, status, 1010000);
  CHECK_TRUE(view.IsLagging());
  STRCMP_EQUAL("b2", view.mProcesses[0].mStatus.mName.c_str());
  LONGS_EQUAL(10000, view.mProcesses[0].mLagMs);
  CHECK_FALSE(MakeStatusView(head, status, 9000000).IsLagging());
}
