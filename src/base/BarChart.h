#pragma once

#include <span>
#include <string>
#include <vector>

namespace heatherplank {

/** One figure of several things that are compared. */
struct BarPanel
{
  std::string mTitle;
  /** One a name, in their order. */
  std::vector<double> mValues;
};

/** Draws a row of panels with one bar a name, as an SVG document. Names may
 * hold any text. Precondition: each panel has a value for each name. Thread
 * safe. */
std::string DrawBarChart(std::span<const std::string> aNames,
                         std::span<const BarPanel> aPanels);

} // namespace heatherplank
