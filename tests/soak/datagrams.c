/*
** datagrams.c - loses and delays a gateway's datagrams, as the soak says, and
** takes from its steady clock what its machine slept
*/
#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "datagrams.h"

#define BYTES_MAX 16384
#define QUEUE_MAX 64
#define FIRST_ADDRESS 0x7f000101u /* of the gateway with index 0 */

/* A datagram that is sent later, with whatever is sent then. */
typedef struct held_t {
  struct sockaddr_in to;
  size_t size;
  long due;
  char bytes[BYTES_MAX];
} held_t;

static const mt_soak_links_t *links;
static int own_index;
static held_t queue[QUEUE_MAX];
static size_t queued;

static void open_links (void) __attribute__((constructor));

static void open_links (void) {
  const char *file = getenv(MT_SOAK_LINKS_FILE);
  const char *index = getenv(MT_SOAK_LINKS_INDEX);
  if (file == NULL || index == NULL) return;
  int fd = open(file, O_RDONLY | O_CLOEXEC);
  if (fd < 0) return;
  void *map = mmap(NULL, sizeof *links, PROT_READ, MAP_SHARED, fd, 0);
  close(fd);
  if (map == MAP_FAILED) return;
  links = map;
  own_index = atoi(index);
}

static long now_ms (void) {
  struct timespec ts;
  clock_gettime(CLOCK_MONOTONIC, &ts);
  return ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* The link that a message goes by; NULL: it goes to no gateway. */
static const mt_soak_link_t *link_of (const struct msghdr *msg) {
  const struct sockaddr_in *to = msg->msg_name;
  if (links == NULL || to == NULL || msg->msg_namelen < sizeof *to)
    return NULL;
  uint32_t index = ntohl(to->sin_addr.s_addr) - FIRST_ADDRESS;
  if (to->sin_family != AF_INET || index >= MT_SOAK_GATEWAYS) return NULL;
  return &links->link[own_index][index];
}

static void send_due (int fd, bool all) {
  size_t left = 0;
  for (size_t i = 0; i < queued; i++) {
    held_t *held = &queue[i];
    if (all || now_ms() >= held->due)
      sendto(fd, held->bytes, held->size, MSG_DONTWAIT,
             (const struct sockaddr *)&held->to, sizeof held->to);
    else if (left++ != i)
      queue[left - 1] = *held;
  }
  queued = left;
}

static ssize_t hold (const struct msghdr *msg, long delay) {
  held_t *held = &queue[queued++];
  held->to = *(const struct sockaddr_in *)msg->msg_name;
  held->due = now_ms() + delay;
  held->size = 0;
  for (size_t i = 0; i < msg->msg_iovlen; i++) {
    size_t n = msg->msg_iov[i].iov_len;
    if (n > BYTES_MAX - held->size) n = BYTES_MAX - held->size;
    memcpy(held->bytes + held->size, msg->msg_iov[i].iov_base, n);
    held->size += n;
  }
  return (ssize_t)held->size;
}

static ssize_t size_of (const struct msghdr *msg) {
  size_t size = 0;
  for (size_t i = 0; i < msg->msg_iovlen; i++)
    size += msg->msg_iov[i].iov_len;
  return (ssize_t)size;
}

ssize_t sendmsg (int fd, const struct msghdr *msg, int flags) {
  static ssize_t (*next)(int, const struct msghdr *, int);
  if (next == NULL) {
    void *symbol = dlsym(RTLD_NEXT, "sendmsg");
    memcpy(&next, &symbol, sizeof next);
  }
  const mt_soak_link_t *link = link_of(msg);
  if (link == NULL) return next(fd, msg, flags);
  send_due(fd, queued == QUEUE_MAX);
  if (random() % 1000 < link->lost) return size_of(msg);
  if (link->delay_ms > 0) return hold(msg, link->delay_ms);
  return next(fd, msg, flags);
}

/* A machine that was suspended: the process stood still as long, and of its
   clocks the steady one did, too. */
int clock_gettime (clockid_t id, struct timespec *ts) {
  static int (*next)(clockid_t, struct timespec *);
  if (next == NULL) {
    void *symbol = dlsym(RTLD_NEXT, "clock_gettime");
    memcpy(&next, &symbol, sizeof next);
  }
  int result = next(id, ts);
  bool steady = id == CLOCK_MONOTONIC || id == CLOCK_MONOTONIC_COARSE ||
                id == CLOCK_MONOTONIC_RAW;
  if (links == NULL || !steady || result != 0) return result;
  int64_t ns = (int64_t)ts->tv_sec * 1000000000 + ts->tv_nsec -
               (int64_t)links->slept_ms[own_index] * 1000000;
  ts->tv_sec = ns / 1000000000;
  ts->tv_nsec = ns % 1000000000;
  return 0;
}
