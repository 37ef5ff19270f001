#pragma once

namespace greengagehub {

class Content;
class ConfigHolder;
class DecisionProcess;
class CompactionProcess;
class ReadinessGate;
class SnapshotReader;
struct Decision;
struct DecisionLog;
struct Reason;
struct Route;
struct Service;
struct Submission;
struct VersionEntry;

}
