#pragma once

#include <cstddef>
#include <unistd.h>
#include <vector>

namespace greengagehub {

/// \brief Uses up the descriptors of the process while it lives.
class AllDescriptors
{
public:
  AllDescriptors()
  {
    for (int each = ::dup(STDERR_FILENO); each >= 0;
         each = ::dup(STDERR_FILENO)) {
      m_descriptors.push_back(each);
    }
  }
  ~AllDescriptors()
  {
    for (const int each : m_descriptors) {
      ::close(each);
    }
  }
  AllDescriptors(const AllDescriptors&) = delete;
  AllDescriptors& operator=(const AllDescriptors&) = delete;

private:
  std::vector<int> m_descriptors;
};

}
