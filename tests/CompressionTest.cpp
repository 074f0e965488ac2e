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

TEST(Compression, DecompressRestoresTheText)
{
  auto compressed = Compress(mText);
  CHECK_TRUE(compressed.size() < mText.size() / 10);
  CHECK_TRUE(Decompress(compressed, mText.size()) == mText);
  CHECK_TRUE(Decompress(Compress(""), 0) == std::string());
}

// A peer sends damaged bytes, or bytes that are not compressed text.
TEST(Compression, RejectsDamagedBytes)
{
  auto compressed = Compress(mText);
  auto cut = compressed;
  cut.resize(compressed.size() / 2);
  CHECK_TRUE(Decompress(cut, mText.size()).error().mKind ==
             ErrorKind::Malformed);
  CHECK_TRUE(Decompress({}, 100).error().mKind == ErrorKind::Malformed);
  std::mt19937 random(1);
  for (int i = 0; i < 1000; ++i) {
    auto bad = compressed;
    bad[random() % bad.size()] ^= static_cast<std::uint8_t>(random());
    auto text = Decompress(bad, mText.size());
    CHECK_TRUE(!text || text->size() <= mText.size());
  }
}

// A short message that declares a huge text must not cause its allocation.
TEST(Compression, RejectsTextAboveTheMaximumSize)
{
  auto compressed = Compress(mText);
  CHECK_TRUE(Decompress(compressed, mText.size() - 1).error().mKind ==
             ErrorKind::TooLarge);
}
