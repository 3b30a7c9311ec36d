// process.h - starts a gateway as a process and reads its ports from its log
#ifndef tests_soak_process_h
#define tests_soak_process_h

#include <errno.h>
#include <sys/prctl.h>

#include "network.h"
#include "world.h"

namespace soak {

// A UDP port that is free at the first gateway's address, and so most likely
// at the addresses of all.
inline int free_datagram_port () {
  int fd = socket(AF_INET, SOCK_DGRAM, 0);
  sockaddr_in a = loopback(0);
  inet_pton(AF_INET, "127.0.1.1", &a.sin_addr);
  bind(fd, (sockaddr *)&a, sizeof a);
  socklen_t n = sizeof a;
  getsockname(fd, (sockaddr *)&a, &n);
  ::close(fd);
  return ntohs(a.sin_port);
}

struct Gateway {
  int index;
  pid_t pid = -1;
  int port = 0, metrics = 0; // for callers, for metrics; 0: not logged yet
  std::string dir, log;
  long restart_at = 0, resume_at = 0; // ms of the steady clock; 0: not due
  // Start of the current pause, if it simulates a suspended box; else 0.
  long suspended_at = 0;
  bool stopping = false;

  std::string ip () const {
    return "127.0.1." + std::to_string(index + 1);
  }
  // Starts the process. `peers`: UDP port of all gateways; `store`: TCP port
  // of its store; `gateways`: their number; `network`: the file of a Network,
  // empty if datagrams are left alone.
  void start (int peers, int store, int gateways,
              const std::string &network = "") {
    std::string file = dir + "/g" + std::to_string(index) + ".json";
    std::string seeds;
    for (int i = 0; i < gateways && i < 3; i++)
      seeds += std::string(i ? "," : "") + "\"127.0.1." +
               std::to_string(i + 1) + ":1\"";
    std::ofstream(file) << "{\"node\":\"g" << index << "\",\"domain\":\"d"
                        << 1 + index % 2 << "\",\"callers\":\"" << ip()
                        << ":0\",\"ready\":\"" << ip()
                        << ":0\",\"metrics\":\"" << ip()
                        << ":0\",\"peers\":\"" << ip() << ":" << peers
                        << "\",\"seeds\":[" << seeds
                        << "],\"grace_ms\":8000,\"log_lines_per_s\":10000,"
                           "\"source\":{\"store\":\"127.0.0.1:"
                        << store << "\"}}";
    log = dir + "/g" + std::to_string(index) + ".log";
    int out =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    log_offset = (size_t)lseek(out, 0, SEEK_END);
    const char *bin = getenv("MT_BIN");
    std::string program = std::string(bin ? bin : "build") + "/martentiller";
    // Closed by exec: the caller waits for that, so that no signal reaches
    // the process before its program runs.
    int exec_pipe[2];
    if (pipe2(exec_pipe, O_CLOEXEC) != 0) abort();
    pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // killed when the soak ends
      dup2(out, 1);
      if (!network.empty()) Network::set_child_environment(network, index);
      execl(program.c_str(), program.c_str(), "gateway", "--settings",
            file.c_str(), (char *)nullptr);
      _exit(127);
    }
    char unused;
    ::close(exec_pipe[1]);
    while (read(exec_pipe[0], &unused, 1) < 0 && errno == EINTR) continue;
    ::close(exec_pipe[0]);
    ::close(out);
    port = 0;
    stopping = false;
    restart_at = resume_at = 0;
  }
  // True once the program has blocked the stop signal or handles it; until
  // then the signal ends the process.
  bool handles_stop () const {
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    unsigned long signals = 0, mask;
    for (std::string word; in >> word;)
      if ((word == "SigBlk:" || word == "SigCgt:") && in >> std::hex >> mask)
        signals |= mask;
    return (signals >> (SIGTERM - 1) & 1) != 0;
  }
  // Reads the ports of the current process, once it has logged them.
  void find_port () {
    if (pid < 0 || port != 0) return;
    std::ifstream in(log);
    std::string text((std::istreambuf_iterator<char>(in)),
                     std::istreambuf_iterator<char>());
    size_t at = text.find("event=start ", log_offset);
    if (at == text.npos || text.find('\n', at) == text.npos) return;
    auto number = [&] (const char *name) {
      return atoi(text.c_str() + text.find(':', text.find(name, at)) + 1);
    };
    port = number("callers=");
    metrics = number("metrics=");
  }
  size_t log_offset = 0; // bytes that earlier processes wrote to the log
};

} // namespace soak

#endif
