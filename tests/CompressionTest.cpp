#include "src/base/Compression.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

TEST_GROUP(Compression)
{
  std::string mText;

  void setup() override
  {
    for (int i = 0; i < 1000; ++i) {
      mText += R"({"Host":"198.18.0.)" + std::to_string(i % 250) +
               R"(","PathPrefix":"/8443/","TimeoutMs":2000},)";
    }
  }
};

TEST(Compression, GivesTheTextBack)
{
  auto packed = Compress(mText);
  CHECK_TRUE(packed.size() < mText.size() / 10);
  CHECK_TRUE(Decompress(packed, mText.size()) == mText);
  CHECK_TRUE(Decompress(Compress(""), 0) == std::string());
}

// A peer's message is damaged, or is no packed text at all.
TEST(Compression, RefusesDamagedBytes)
{
  auto packed = Compress(mText);
  auto cut = packed;
  cut.resize(packed.size() / 2);
  CHECK_TRUE(Decompress(cut, mText.size()).error().mKind ==
             ErrorKind::Malformed);
  CHECK_TRUE(Decompress({}, 100).error().mKind == ErrorKind::Malformed);
  std::mt19937 random(1);
  for (int i = 0; i < 1000; ++i) {
    auto bad = packed;
    bad[random() % bad.size()] ^= static_cast<std::uint8_t>(random());
    auto text = Decompress(bad, mText.size());
    CHECK_TRUE(!text || text->size() <= mText.size());
  }
}

// A few bytes that claim to be a huge text take no memory.
TEST(Compression, RefusesMoreThanAsked)
{
  auto packed = Compress(mText);
  CHECK_TRUE(Decompress(packed, mText.size() - 1).error().mKind ==
             ErrorKind::TooLarge);
}
