#include "src/base/Log.h"

#include <condition_variable>
#include <cstdio>
#include <memory>
#include <mutex>
#include <thread>

#include <glog/logging.h>

namespace heatherplank {

namespace {

bool NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() ||
         aValue.find_first_of(" =\"\n") != std::string_view::npos;
}

std::string Quote(std::string_view aValue)
{
  std::string out = "\"";
  for (char it : aValue) {
    if (it == '\n') {
      out += "\\n";
      continue;
    }
    if (it == '"' || it == '\\') {
      out += '\\';
    }
    out += it;
  }
  return out + "\"";
}

std::string& ProcessName()
{
  static std::string sName;
  return sName;
}

/** Receives lines from glog and writes them on a dedicated thread. */
class Writer final : public google::LogSink
{
public:
  /** Time over which lines are batched into one write: a system call per line
   * would cost more than the line itself. */
  static constexpr auto kBatchInterval = std::chrono::milliseconds(100);

  explicit Writer(bool aFlows)
    : mFlows(aFlows)
    , mThread([this] { Run(); })
  {
  }

  ~Writer() override
  {
    {
      std::lock_guard lock(mQueueMutex);
      mStopping = true;
    }
    mWake.notify_one();
    mThread.join();
  }

  void send(google::LogSeverity aSeverity, const char*, const char*, int,
            const google::LogMessageTime& aTime, const char* aText,
            std::size_t aLength) override
  {
    char head[32];
    std::snprintf(head, sizeof(head), "%c%02d:%02d:%02d.%06d ",
                  google::GetLogSeverityName(aSeverity)[0], aTime.hour(),
                  aTime.min(), aTime.sec(), aTime.usec());
    std::string line = head;
    line.append(aText, aLength);
    line += '\n';
    std::lock_guard lock(mQueueMutex);
    mQueue.Put(mClass, line, std::chrono::steady_clock::now());
    mWake.notify_one();
  }

  /** Returns whether a line of LogFlow is admitted now. */
  bool AdmitFlowLine()
  {
    std::lock_guard lock(mQueueMutex);
    return mFlows && mQueue.AdmitFlowLine(std::chrono::steady_clock::now());
  }

  /** Class of the line that the current thread passes to glog. */
  static thread_local LogClass mClass;

  void Flush()
  {
    std::lock_guard lock(mWriteMutex);
    std::string text;
    {
      std::lock_guard queue(mQueueMutex);
      text = mQueue.Take();
    }
    std::fwrite(text.data(), 1, text.size(), stdout);
    std::fflush(stdout);
  }

  std::uint64_t Dropped()
  {
    std::lock_guard lock(mQueueMutex);
    return mQueue.Dropped();
  }

private:
  void Run()
  {
    std::unique_lock lock(mQueueMutex);
    while (!mStopping) {
      mWake.wait(lock, [this] { return mStopping || !mQueue.IsEmpty(); });
      lock.unlock();
      Flush();
      lock.lock();
      mWake.wait_for(lock, kBatchInterval, [this] { return mStopping; });
    }
  }

  std::mutex mQueueMutex;
  std::mutex mWriteMutex;
  std::condition_variable mWake;
  LogQueue mQueue;
  const bool mFlows;
  bool mStopping = false;
  std::thread mThread;
};

thread_local LogClass Writer::mClass = LogClass::Diagnostic;

std::unique_ptr<Writer>& GetWriter()
{
  static std::unique_ptr<Writer> sWriter;
  return sWriter;
}

std::string MakeLine(std::string_view aEvent,
                     std::initializer_list<LogField> aFields)
{
  std::string line = "process=" + ProcessName() + " event=";
  line += aEvent;
  for (const auto& it : aFields) {
    line += ' ';
    line += it.mKey;
    line += '=';
    line += NeedsQuotes(it.mValue) ? Quote(it.mValue) : it.mValue;
  }
  return line;
}

void Write(LogClass aClass, google::LogSeverity aSeverity,
           const std::string& aLine)
{
  Writer* writer = GetWriter().get();
  if (writer == nullptr) {
    return;
  }
  Writer::mClass = aClass;
  google::LogMessage("", 0, aSeverity, writer, false).stream() << aLine;
}

} // namespace

void StartLog(std::string_view aProcess, bool aFlows)
{
  ProcessName() = aProcess;
  FLAGS_logtostderr = true;
  google::InitGoogleLogging("heatherplank");
  GetWriter() = std::make_unique<Writer>(aFlows);
}

void FlushLog()
{
  if (GetWriter()) {
    GetWriter()->Flush();
  }
}

std::uint64_t DroppedLogLines()
{
  return GetWriter() ? GetWriter()->Dropped() : 0;
}

void LogEvent(LogLevel aLevel, std::string_view aEvent,
              std::initializer_list<LogField> aFields)
{
  google::LogSeverity severity = google::GLOG_INFO;
  if (aLevel == LogLevel::Warning) {
    severity = google::GLOG_WARNING;
  } else if (aLevel == LogLevel::Error) {
    severity = google::GLOG_ERROR;
  }
  Write(LogClass::Diagnostic, severity, MakeLine(aEvent, aFields));
}

void LogFlow(std::string_view aEvent, std::initializer_list<LogField> aFields)
{
  if (GetWriter() && GetWriter()->AdmitFlowLine()) {
    Write(LogClass::Flow, google::GLOG_INFO, MakeLine(aEvent, aFields));
  }
}

} // namespace heatherplank
