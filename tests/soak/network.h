// network.h - drops and delays datagrams between gateways
#ifndef tests_soak_network_h
#define tests_soak_network_h

#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <unistd.h>

#include <string>

#include "datagrams.h"

namespace soak {

// The file that controls the links between gateways. Each gateway's process
// maps it, and datagrams.c reads it there.
class Network {
public:
  explicit Network(const std::string &path) : file(path) {
    int fd = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (fd < 0 || ftruncate(fd, sizeof(mt_soak_links_t)) != 0) abort();
    links = (mt_soak_links_t *)mmap(
        nullptr, sizeof *links, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    ::close(fd);
  }
  ~Network() {
    munmap(links, sizeof *links);
    unlink(file.c_str());
  }
  Network(const Network &) = delete;

  // Of 1,000 datagrams `lost` are dropped, the others arrive `delay_ms`
  // later.
  void set (int from, int to, unsigned lost, unsigned delay_ms) {
    links->link[from][to] = {(uint16_t)lost, (uint16_t)delay_ms};
  }
  // A gateway's box was suspended for `ms`; its steady clock leaves that out.
  void add_suspension (int gateway, unsigned ms) {
    links->suspended_ms[gateway] += ms;
  }
  void heal () {
    for (auto &row : links->link)
      for (mt_soak_link_t &link : row) link = {0, 0};
  }

  // Loads datagrams.c into a gateway: sets the environment in the forked
  // process, before exec.
  static void set_child_environment (const std::string &path, int index) {
    const char *bin = getenv("MT_BIN");
    std::string library =
        std::string(bin ? bin : "build") + "/soak-datagrams.so";
    setenv("LD_PRELOAD", library.c_str(), 1);
    setenv(MT_SOAK_LINKS_ENV, path.c_str(), 1);
    setenv(MT_SOAK_INDEX_ENV, std::to_string(index).c_str(), 1);
    const char *asan = getenv("ASAN_OPTIONS");
    std::string options = asan ? std::string(asan) + ":" : "";
    setenv("ASAN_OPTIONS", (options + "verify_asan_link_order=0").c_str(), 1);
  }

  const std::string file;

private:
  mt_soak_links_t *links;
};

} // namespace soak

#endif
