#pragma once

namespace greengagehub {

class Content;
class ConfigHolder;
class SubmitProcess;
class PackProcess;
struct Decision;
struct DecisionLog;
struct Reason;
struct Route;
struct Service;
struct Submission;
struct VersionEntry;

}
