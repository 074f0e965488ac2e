#include "src/settings/JsonReader.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

/** Returns the faults of a document with the schema {"count": 1-9, "names":
 * [...], "part": {"on": bool}}. */
std::string FaultsOf(std::string_view aText)
{
  JsonFaults faults("f.json");
  ReadJsonDocument(aText, faults, [](JsonReader& aReader) {
    aReader.RequiredInteger("count", 1, 9);
    aReader.Strings("names");
    aReader.Object("part", [](JsonReader& aPart) { aPart.Bool("on", false); });
  });
  return faults.Describe();
}

} // namespace

TEST_GROUP(JsonReader){};

TEST(JsonReader, ReportsEachFaultWithItsRemedy)
{
  struct Case
  {
    const char* mText;
    const char* mFaults;
  };
  const Case cases[] = {
    { R"({"count": 3, /* why */ "names": ["a",], "part": {"on": true}})", "" },
    { R"({"count": 10})",
      "f.json: count: found 10; give a whole number from 1 to 9" },
    { R"({"cuont": 3})",
      "f.json: count: missing; add the key\n"
      "f.json: cuont: unknown key; did you mean \"count\"?" },
    { R"({"count": 1, "names": ["a", 7], "part": {"on": 1, "zzzzzzzz": 0}})",
      "f.json: names[1]: found 7; give a string that is not empty\n"
      "f.json: part.on: found 1; give true or false\n"
      "f.json: part.zzzzzzzz: unknown key; remove it; known keys: on" },
    { R"({"count": 1, "count": 2})",
      "f.json: count: duplicate key in one object; keep one of them" },
    { "{\n\"count\": }", "f.json: line 2: not JSON: syntax error; "
                         "fix the syntax there or just before" },
    { R"({"count": 1)", "f.json: line 1: not JSON: incomplete JSON; "
                        "fix the syntax there or just before" },
    { R"({"count": 1} x)", "f.json: line 1: not JSON: extra data; "
                           "fix the syntax there or just before" },
    { "[1]", "f.json: found [1]; give one object, {...}" },
  };
  for (const auto& it : cases) {
    STRCMP_EQUAL(it.mFaults, FaultsOf(it.mText).c_str());
  }
}

TEST(JsonReader, ReadFileErrorNamesTheFile)
{
  auto read = ReadFile("/nowhere/f.json");
  CHECK_FALSE(read.has_value());
  STRCMP_CONTAINS("/nowhere/f.json", read.error().Describe().c_str());
}
