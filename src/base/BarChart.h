#pragma once

#include <span>
#include <string>
#include <vector>

namespace heatherplank {

/** One panel of a bar chart: a quantity with one value per name. */
struct BarPanel
{
  std::string mTitle;
  /** One value per name, in the order of the names. */
  std::vector<double> mValues;
};

/** Draws a row of panels with one bar per name, as an SVG document. Names may
 * contain any text. Precondition: each panel has a value for each name. Thread
 * safe. */
std::string DrawBarChart(std::span<const std::string> aNames,
                         std::span<const BarPanel> aPanels);

} // namespace heatherplank
