#pragma once

#include "soak_plan.hpp"

#include <boost/program_options.hpp>

namespace greengagehub::testkit {

/// \returns The command-line options, which are stored in `aOut`.
inline boost::program_options::options_description
DescribeOptions(SoakOptions& aOut)
{
  namespace po = boost::program_options;
  po::options_description options{ "soak: runs the real programs under random "
                                   "faults; a seed gives a fixed plan" };
  options.add_options()("help", "show this")(
    "seed", po::value(&aOut.m_seed)->default_value(1), "first seed")(
    "seeds", po::value(&aOut.m_seeds)->default_value(1), "number of seeds")(
    "seconds",
    po::value(&aOut.m_seconds)->default_value(15),
    "length of each plan")("daemons",
                           po::value(&aOut.m_daemons)->default_value(5),
                           "daemons, each with its worker")(
    "rate",
    po::value(&aOut.m_rate)->default_value(100.0),
    "releases per second, and as many lookups")(
    "rollout",
    po::bool_switch(&aOut.m_rollout),
    "also orders a failing version and restores the store from copies")(
    "signals",
    po::bool_switch(&aOut.m_signals),
    "also has backend servers state limits or that they are leaving")(
    "restarts",
    po::bool_switch(&aOut.m_restarts),
    "also restarts backend servers under the same ids")(
    "crashing",
    po::bool_switch(&aOut.m_crashing),
    "also sends a request that crashes backend servers");
  return options;
}

}
