/*
** datagrams.c - interposes sendmsg and clock_gettime in a gateway: drops and
** delays its datagrams, and subtracts suspensions from its steady clock
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
#define FIRST_ADDRESS 0x7f000101u /* 127.0.1.1, the gateway with index 0 */

/* A delayed datagram. It leaves with the first datagram that the gateway
   sends to another one at or after `due`, in ms of the steady clock. */
typedef struct delayed_t {
  struct sockaddr_in to;
  size_t size;
  long due;
  char bytes[BYTES_MAX];
} delayed_t;

static const mt_soak_links_t *links;
static int own_index;
static delayed_t queue[QUEUE_MAX];
static size_t queued;

static void open_links (void) __attribute__((constructor));

static void open_links (void) {
  const char *file = getenv(MT_SOAK_LINKS_ENV);
  const char *index = getenv(MT_SOAK_INDEX_ENV);
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

/* The link from this gateway to the message's destination; NULL if that is no
   gateway. */
static const mt_soak_link_t *link_of (const struct msghdr *msg) {
  const struct sockaddr_in *to = msg->msg_name;
  if (links == NULL || to == NULL || msg->msg_namelen < sizeof *to)
    return NULL;
  uint32_t index = ntohl(to->sin_addr.s_addr) - FIRST_ADDRESS;
  if (to->sin_family != AF_INET || index >= MT_SOAK_GATEWAYS_MAX) return NULL;
  return &links->link[own_index][index];
}

/* Sends the delayed datagrams that are due, or all of them. */
static void send_due (int fd, bool all) {
  size_t left = 0;
  for (size_t i = 0; i < queued; i++) {
    delayed_t *delayed = &queue[i];
    if (all || now_ms() >= delayed->due)
      sendto(fd, delayed->bytes, delayed->size, MSG_DONTWAIT,
             (const struct sockaddr *)&delayed->to, sizeof delayed->to);
    else if (left++ != i)
      queue[left - 1] = *delayed;
  }
  queued = left;
}

static ssize_t enqueue (const struct msghdr *msg, long delay) {
  delayed_t *delayed = &queue[queued++];
  delayed->to = *(const struct sockaddr_in *)msg->msg_name;
  delayed->due = now_ms() + delay;
  delayed->size = 0;
  for (size_t i = 0; i < msg->msg_iovlen; i++) {
    size_t n = msg->msg_iov[i].iov_len;
    if (n > BYTES_MAX - delayed->size) n = BYTES_MAX - delayed->size;
    memcpy(delayed->bytes + delayed->size, msg->msg_iov[i].iov_base, n);
    delayed->size += n;
  }
  return (ssize_t)delayed->size;
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
  if (random() % 1000 < link->loss_permille) return size_of(msg);
  if (link->delay_ms > 0) return enqueue(msg, link->delay_ms);
  return next(fd, msg, flags);
}

/* Simulates a box that was suspended: its steady clock did not advance during
   the suspension, while the process was stopped. */
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
               (int64_t)links->suspended_ms[own_index] * 1000000;
  ts->tv_sec = ns / 1000000000;
  ts->tv_nsec = ns % 1000000000;
  return 0;
}
