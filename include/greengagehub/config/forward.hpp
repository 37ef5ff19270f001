#pragma once

namespace greengagehub {

class Content;
class ConfigHolder;
class DecisionProcess;
class PackProcess;
class ReadyGate;
class SnapshotReader;
struct Decision;
struct DecisionLog;
struct Reason;
struct Route;
struct Service;
struct Submission;
struct VersionEntry;

}
