#include <algorithm>
#include <boost/program_options.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

/// \file
/// \brief Writes a page of results and a plot from the journal of measured
/// runs: for each deployment, the worth of each standard day at the first and
/// the last score, and the largest loss at the last one.
///
/// Terms of the journal: a day is one simulated scenario of load and faults.
/// Answered calls earn credit. The worth of a day is the weighted sum of its
/// parts, which are shares of the possible credit, minus its prices, which are
/// deductions for resources used and for errors.

namespace {

using Json = nlohmann::json;

struct Day
{
  std::string m_name;
  double m_worth{ 0.0 };
  double m_served{ 0.0 };
  std::string m_largestLoss;
  std::size_t m_brokenRules{ 0 };
};

struct Score
{
  std::string m_at;
  std::string m_reason;
  std::vector<Day> m_days;

  /// \returns Mean worth of the days with faults, which are all days whose name
  /// does not start with "quiet".
  [[nodiscard]] double MeanWorth() const
  {
    double sum = 0.0;
    int count = 0;
    for (const Day& each : m_days) {
      if (!each.m_name.starts_with("quiet")) {
        sum += each.m_worth;
        ++count;
      }
    }
    return count > 0 ? sum / count : 0.0;
  }
};

using Sites = std::map<std::string, std::vector<Score>>;

/// \returns Name and size of the largest loss of worth in a day: a price, or
/// the missing share of a part times the weight of the part.
std::string
LargestLoss(const Json& aDay)
{
  std::string name = "nothing";
  double largest = 0.0;
  for (const Json& part : aDay.at("parts")) {
    const double lost =
      part.at(1).get<double>() * (1.0 - part.at(2).get<double>());
    if (lost > largest) {
      largest = lost;
      name = part.at(0).get<std::string>();
    }
  }
  for (const Json& price : aDay.at("prices")) {
    if (price.at(2).get<double>() > largest) {
      largest = price.at(2).get<double>();
      name = price.at(0).get<std::string>();
    }
  }
  return fmt::format("{} ({:.3f})", name, largest);
}

std::optional<Score>
ScoreFrom(const Json& aEntry)
{
  if (aEntry.value("cmd", "") != "score") {
    return std::nullopt;
  }
  Score score;
  score.m_at = aEntry.at("at").at(0).get<std::string>();
  score.m_reason = aEntry.value("why", "");
  for (const Json& day : aEntry.at("days")) {
    const std::string name = day.at("name").get<std::string>();
    if (name.starts_with("fresh")) {
      continue;
    }
    score.m_days.push_back({ name,
                             day.at("G").get<double>(),
                             day.at("served").get<double>(),
                             LargestLoss(day),
                             day.at("rules").size() });
  }
  return score;
}

Sites
ReadJournal(const std::filesystem::path& aFolder)
{
  std::vector<std::filesystem::path> files;
  for (const auto& each : std::filesystem::directory_iterator{ aFolder }) {
    if (each.path().extension() == ".json") {
      files.push_back(each.path());
    }
  }
  std::sort(files.begin(), files.end());
  Sites sites;
  for (const auto& each : files) {
    std::ifstream file{ each };
    const Json entry = Json::parse(file, nullptr, false);
    if (!entry.is_object()) {
      fmt::print(stderr, "{}: not a JSON object, skipped\n", each.string());
      continue;
    }
    // A score whose build failed has no days.
    if (!entry.value("ok", false)) {
      continue;
    }
    if (auto score = ScoreFrom(entry)) {
      sites[entry.value("site", "")].push_back(std::move(*score));
    }
  }
  return sites;
}

void
WriteSite(std::ofstream& aOut,
          const std::string& aSite,
          const std::vector<Score>& aScores)
{
  const Score& first = aScores.front();
  const Score& last = aScores.back();
  aOut << fmt::format(
            "\n## {}\n\n{} scores. First: {} ({}). Last: {} ({}).\n\n",
            aSite,
            aScores.size(),
            first.m_at,
            first.m_reason,
            last.m_at,
            last.m_reason)
       << "| day | worth, first | rules broken | worth, last | rules broken | "
          "credit earned | largest loss now |\n|---|---|---|---|---|---|---|\n";
  for (const Day& day : last.m_days) {
    const auto before =
      std::find_if(first.m_days.begin(),
                   first.m_days.end(),
                   [&](const Day& aDay) { return aDay.m_name == day.m_name; });
    const bool hasFirst = before != first.m_days.end();
    aOut << fmt::format("| {} | {} | {} | {:.3f} | {} | {:.3f} | {} |\n",
                        day.m_name,
                        hasFirst ? fmt::format("{:.3f}", before->m_worth) : "",
                        hasFirst ? std::to_string(before->m_brokenRules) : "",
                        day.m_worth,
                        day.m_brokenRules,
                        day.m_served,
                        day.m_largestLoss);
  }
  aOut << fmt::format("| mean of the days with trouble | {:.3f} | | {:.3f} | | "
                      "| |\n",
                      first.MeanWorth(),
                      last.MeanWorth());
}

void
WritePage(const std::filesystem::path& aFile, const Sites& aSites)
{
  std::ofstream out{ aFile };
  out
    << "# Results\n\nMade by `build/tools/results` out of `journal/`; worth of "
       "the standard days, one run\neach; a change under 0.03 is noise. Trials "
       "on scratch copies are among the scores in\nbetween (their reason says "
       "so).\n\n![mean worth by score](results.svg)\n";
  for (const auto& [site, scores] : aSites) {
    WriteSite(out, site, scores);
  }
}

void
WritePlot(const std::filesystem::path& aFile, const Sites& aSites)
{
  constexpr double kWidth = 720.0;
  constexpr double kHeight = 360.0;
  constexpr double kMargin = 40.0;
  const std::vector<std::string> colours{
    "#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad"
  };
  std::ofstream out{ aFile };
  out << fmt::format(
    R"(<svg xmlns="http://www.w3.org/2000/svg" width="{}" height="{}" )"
    R"(font-family="sans-serif" font-size="12">)"
    "\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n",
    kWidth,
    kHeight);
  const auto yOf = [&](double aWorth) {
    return kHeight - kMargin -
           std::clamp(aWorth, 0.0, 1.0) * (kHeight - 2 * kMargin);
  };
  for (int tenth = 0; tenth <= 10; tenth += 2) {
    const double worth = tenth / 10.0;
    out << fmt::format(
      R"(<text x="8" y="{:.0f}">{:.1f}</text><line x1="{}" x2="{}" )"
      R"(y1="{:.1f}" y2="{:.1f}" stroke="#ddd"/>)"
      "\n",
      yOf(worth) + 4,
      worth,
      kMargin,
      kWidth - kMargin,
      yOf(worth),
      yOf(worth));
  }
  std::size_t index = 0;
  for (const auto& [site, scores] : aSites) {
    const std::string& colour = colours[index % colours.size()];
    std::string points;
    const double step =
      (kWidth - 2 * kMargin) /
      static_cast<double>(std::max<std::size_t>(1, scores.size() - 1));
    for (std::size_t i = 0; i < scores.size(); ++i) {
      points += fmt::format("{:.1f},{:.1f} ",
                            kMargin + step * static_cast<double>(i),
                            yOf(scores[i].MeanWorth()));
    }
    out << fmt::format(
      R"(<polyline points="{}" fill="none" stroke="{}" stroke-width="2"/>)"
      R"(<text x="{}" y="{}" fill="{}">{}</text>)"
      "\n",
      points,
      colour,
      kMargin + 10,
      kMargin + 16 * static_cast<double>(index),
      colour,
      site);
    ++index;
  }
  out << fmt::format(
    R"(<text x="{}" y="{}">scores in order of time, mean worth )"
    R"(of the days with trouble</text></svg>)"
    "\n",
    kMargin,
    kHeight - 10);
}

}

int
main(int aCount, char** aArguments)
{
  namespace po = boost::program_options;
  std::string journal;
  std::string folder;
  po::options_description options{ "results" };
  options.add_options()(
    "journal", po::value(&journal)->default_value("journal"), "entries")(
    "out", po::value(&folder)->default_value("docs"), "folder of the page");
  try {
    po::variables_map given;
    po::store(po::parse_command_line(aCount, aArguments, options), given);
    po::notify(given);
    const Sites sites = ReadJournal(journal);
    WritePage(std::filesystem::path{ folder } / "RESULTS.md", sites);
    WritePlot(std::filesystem::path{ folder } / "results.svg", sites);
    return 0;
  } catch (const std::exception& fault) {
    fmt::print(stderr, "{}\n", fault.what());
    return 1;
  }
}
