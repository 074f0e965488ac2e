#include "src/passthrough/NewBytes.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

TEST_GROUP(NewBytes)
{
  NewBytes mBytes;
};

TEST(NewBytes, TheFirstBytesAreNewWhereverTheyBegin)
{
  CHECK_TRUE(mBytes.Take(3000000000U, 1));
}

TEST(NewBytes, ACopyIsNotNew)
{
  CHECK_TRUE(mBytes.Take(100, 50));
  CHECK_FALSE(mBytes.Take(100, 50));
}

TEST(NewBytes, WhatWasOvertakenIsNotNew)
{
  CHECK_TRUE(mBytes.Take(2500, 1200));
  CHECK_FALSE(mBytes.Take(100, 1200));
  CHECK_FALSE(mBytes.Take(1300, 1200));
  CHECK_TRUE(mBytes.Take(3700, 1200));
}

TEST(NewBytes, APacketThatRepeatsSomeAndBringsMoreIsNew)
{
  CHECK_TRUE(mBytes.Take(100, 50));
  CHECK_TRUE(mBytes.Take(100, 51));
}

TEST(NewBytes, NoBytesAreNeverNew)
{
  CHECK_FALSE(mBytes.Take(100, 0));
  CHECK_TRUE(mBytes.Take(100, 1));
}

TEST(NewBytes, SequenceNumbersWrap)
{
  CHECK_TRUE(mBytes.Take(4294967290U, 6));
  CHECK_TRUE(mBytes.Take(0, 10));
  CHECK_FALSE(mBytes.Take(4294967290U, 6));
}
