/*
** stage.h - stand-ins for the cases of the review: the platform's store,
** engines and clients, and the start and end of gateway processes
**
** All of them run as threads of one process, on loopback addresses. The
** gateways are processes of their own, started with the command of the deploy
** file and a settings file laid out as deploy/settings.json. The store answers
** kv-range and kv-watch as PROTOCOL.md says; any other call gets 503, which
** says that nothing was done. An engine gives its own id, echoes the attempt
** id, signs what it answers and refuses requests for other instances with 421.
*/
#ifndef stage_h
#define stage_h

#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define EXIT_HELD 0
#define EXIT_BROKEN 1
#define EXIT_CANNOT_RUN 2
#define TIME_LIMIT_S 110

/* {== Record ============================================================ */

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t record_start;

static int64_t now_ms (void) {
  struct timespec ts;
  clock_gettime(CLOCK_MONOTONIC, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void sleep_ms (int64_t ms) {
  struct timespec ts = {ms / 1000, ms % 1000 * 1000000};
  while (nanosleep(&ts, &ts) < 0 && errno == EINTR) continue;
}

/* One line of record.txt, with the ms since the start. */
static void note (const char *format, ...)
    __attribute__((format(printf, 1, 2)));
static void note (const char *format, ...) {
  va_list ap;
  pthread_mutex_lock(&record_lock);
  if (record_file != NULL) {
    fprintf(record_file, "%8lld ms  ", (long long)(now_ms() - record_start));
    va_start(ap, format);
    vfprintf(record_file, format, ap);
    va_end(ap);
    fputc('\n', record_file);
    fflush(record_file);
  }
  pthread_mutex_unlock(&record_lock);
}

/* }== */

/* {== Sockets =========================================================== */

static struct sockaddr_in address_of (const char *ip, int port) {
  struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(port)};
  inet_pton(AF_INET, ip, &a.sin_addr);
  return a;
}

static int listen_on (const char *ip, int *port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;
  struct sockaddr_in a = address_of(ip, *port);
  socklen_t n = sizeof a;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind(fd, (struct sockaddr *)&a, n) != 0 || listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  getsockname(fd, (struct sockaddr *)&a, &n);
  *port = ntohs(a.sin_port);
  return fd;
}

/* A port that is free at the address, for TCP (or UDP). */
static int free_port (const char *ip, int type) {
  int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  struct sockaddr_in a = address_of(ip, 0);
  socklen_t n = sizeof a;
  if (bind(fd, (struct sockaddr *)&a, n) != 0) {
    close(fd);
    return -1;
  }
  getsockname(fd, (struct sockaddr *)&a, &n);
  close(fd);
  return ntohs(a.sin_port);
}

static int connect_to (const char *ip, int port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;
  struct sockaddr_in a = address_of(ip, port);
  if (connect(fd, (struct sockaddr *)&a, sizeof a) != 0) {
    close(fd);
    return -1;
  }
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

static bool send_all (int fd, const char *p, size_t n) {
  while (n > 0) {
    ssize_t done = send(fd, p, n, MSG_NOSIGNAL);
    if (done < 0 && errno == EINTR) continue;
    if (done <= 0) return false;
    p += done;
    n -= (size_t)done;
  }
  return true;
}

static bool send_text (int fd, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
static bool send_text (int fd, const char *format, ...) {
  char text[16384];
  va_list ap;
  va_start(ap, format);
  int n = vsnprintf(text, sizeof text, format, ap);
  va_end(ap);
  return send_all(fd, text, (size_t)n);
}

/* Closes the connection by a reset. */
static void reset_connection (int fd) {
  struct linger l = {1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
  close(fd);
}

/* }== */

/* {== Requests, as engines and the store read them ====================== */

#define TEXT_MAX 65536

typedef struct request_t {
  char method[16], target[2048];
  char head[TEXT_MAX]; /* the whole head */
  char body[TEXT_MAX];
  size_t body_size;
} request_t;

/* The value of a header field; empty if there is none. */
static void field (const char *head, const char *name, char *value,
                   size_t size) {
  size_t n = strlen(name);
  value[0] = '\0';
  for (const char *line = strstr(head, "\r\n"); line != NULL;
       line = strstr(line + 2, "\r\n")) {
    const char *at = line + 2;
    if (strncasecmp(at, name, n) != 0 || at[n] != ':') continue;
    at += n + 1;
    while (*at == ' ') at++;
    size_t length = strcspn(at, "\r\n");
    if (length >= size) length = size - 1;
    memcpy(value, at, length);
    value[length] = '\0';
    return;
  }
}

/* Reads one request with a length; false when the connection has ended. */
static bool read_request (int fd, request_t *r) {
  size_t used = 0;
  char *end = NULL;
  memset(r, 0, sizeof *r);
  while (end == NULL) {
    ssize_t n = recv(fd, r->head + used, 1, 0);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0 || used + 2 >= sizeof r->head) return false;
    used += (size_t)n;
    if (used >= 4 && memcmp(r->head + used - 4, "\r\n\r\n", 4) == 0)
      end = r->head + used;
  }
  sscanf(r->head, "%15s %2047s", r->method, r->target);
  char length[24];
  field(r->head, "Content-Length", length, sizeof length);
  r->body_size = (size_t)atol(length);
  if (r->body_size >= sizeof r->body) return false;
  for (size_t got = 0; got < r->body_size;) {
    ssize_t n = recv(fd, r->body + got, r->body_size - got, 0);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    got += (size_t)n;
  }
  return true;
}

/* }== */

/* {== The platform's store ============================================== */

#define ITEMS_MAX 64
#define VALUE_MAX 16384

typedef struct item_t {
  char key[200];
  char value[VALUE_MAX];
  int64_t rev;
  bool gone;
} item_t;

/* A port of the store. `cut` resets its connections, present and new ones;
   while `silent` they get no answer. */
typedef struct gate_t {
  int fd, port;
  volatile bool cut, silent;
} gate_t;

typedef struct store_t {
  gate_t gates[2]; /* the second one for a machine that is to be cut off */
  pthread_mutex_t lock;
  pthread_cond_t changed;
  item_t items[ITEMS_MAX];
  int count;
  int64_t rev;
} store_t;

typedef struct store_connection_t {
  gate_t *gate;
  int fd;
} store_connection_t;

static store_t the_store = {.lock = PTHREAD_MUTEX_INITIALIZER,
                            .changed = PTHREAD_COND_INITIALIZER,
                            .rev = 10};

static void base64 (const char *text, char *out) {
  static const char digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  const unsigned char *p = (const unsigned char *)text;
  size_t n = strlen(text);
  for (size_t i = 0; i < n; i += 3) {
    unsigned a = p[i], b = i + 1 < n ? p[i + 1] : 0,
             c = i + 2 < n ? p[i + 2] : 0;
    *out++ = digits[a >> 2];
    *out++ = digits[(a & 3) << 4 | b >> 4];
    *out++ = i + 1 < n ? digits[(b & 15) << 2 | c >> 6] : '=';
    *out++ = i + 2 < n ? digits[c & 63] : '=';
  }
  *out = '\0';
}

/* Writes an item, or deletes it (value NULL). */
static void store_put (const char *key, const char *value) {
  pthread_mutex_lock(&the_store.lock);
  item_t *item = NULL;
  for (int i = 0; i < the_store.count; i++)
    if (strcmp(the_store.items[i].key, key) == 0) item = &the_store.items[i];
  if (item == NULL) item = &the_store.items[the_store.count++];
  snprintf(item->key, sizeof item->key, "%s", key);
  snprintf(item->value, sizeof item->value, "%s", value ? value : "");
  item->gone = value == NULL;
  item->rev = ++the_store.rev;
  note("store: %s %s, revision %lld", value ? "writes" : "deletes", key,
       (long long)item->rev);
  pthread_cond_broadcast(&the_store.changed);
  pthread_mutex_unlock(&the_store.lock);
}

static size_t write_item (char *to, const item_t *item) {
  static __thread char value[VALUE_MAX * 2];
  if (item->gone)
    return (size_t)sprintf(to, "{\"key\":\"%s\",\"rev\":%lld,\"gone\":true}",
                           item->key, (long long)item->rev);
  base64(item->value, value);
  return (size_t)sprintf(
      to, "{\"key\":\"%s\",\"value\":\"%s\",\"rev\":%lld,\"made\":%lld,\"lease\":0}",
      item->key, value, (long long)item->rev, (long long)item->rev);
}

/* Items with the prefix after a revision, as a JSON list; their number. */
static int list_items (char *to, const char *prefix, int64_t after,
                       bool with_gone) {
  int count = 0;
  size_t n = (size_t)sprintf(to, "[");
  for (int i = 0; i < the_store.count; i++) {
    const item_t *item = &the_store.items[i];
    if (strncmp(item->key, prefix, strlen(prefix)) != 0) continue;
    if (item->rev <= after || (item->gone && !with_gone)) continue;
    if (count++ > 0) to[n++] = ',';
    n += write_item(to + n, item);
  }
  sprintf(to + n, "]");
  return count;
}

static void parameter (const char *target, const char *name, char *value,
                       size_t size) {
  char key[64];
  snprintf(key, sizeof key, "%s=", name);
  const char *at = strstr(target, key);
  value[0] = '\0';
  if (at == NULL) return;
  at += strlen(key);
  size_t n = strcspn(at, "&");
  snprintf(value, size, "%.*s", (int)n, at);
}

static void *store_connection (void *ud) {
  store_connection_t c = *(store_connection_t *)ud;
  int fd = c.fd;
  free(ud);
  request_t *r = malloc(sizeof *r);
  char *body = malloc(ITEMS_MAX * VALUE_MAX), prefix[200], text[32];
  char *list = malloc(ITEMS_MAX * VALUE_MAX);
  while (read_request(fd, r)) {
    if (c.gate->cut) break;
    parameter(r->target, "path_prefix", prefix, sizeof prefix);
    int status = 200;
    pthread_mutex_lock(&the_store.lock);
    if (strncmp(r->target, "/-/kv-range", 11) == 0) {
      list_items(list, prefix, 0, false);
      sprintf(body, "{\"items\":%s,\"more\":false,\"at\":%lld}", list,
              (long long)the_store.rev);
    } else if (strncmp(r->target, "/-/kv-watch", 11) == 0) {
      parameter(r->target, "since_rev", text, sizeof text);
      int64_t since = atoll(text);
      parameter(r->target, "wait_ms", text, sizeof text);
      int64_t until = now_ms() + atoll(text);
      while (list_items(list, prefix, since, true) == 0 && now_ms() < until &&
             !c.gate->cut) {
        struct timespec ts;
        clock_gettime(CLOCK_REALTIME, &ts);
        ts.tv_nsec += 20 * 1000000;
        if (ts.tv_nsec >= 1000000000) {
          ts.tv_sec++;
          ts.tv_nsec -= 1000000000;
        }
        pthread_cond_timedwait(&the_store.changed, &the_store.lock, &ts);
      }
      sprintf(body, "{\"events\":%s,\"at\":%lld}", list,
              (long long)the_store.rev);
    } else {
      status = 503;
      sprintf(body, "{}");
    }
    pthread_mutex_unlock(&the_store.lock);
    while (c.gate->silent) sleep_ms(10);
    if (c.gate->cut) break;
    char head[256];
    int n = snprintf(head, sizeof head,
                     "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                     "Content-Length: %zu\r\n\r\n",
                     status, strlen(body));
    if (!send_all(fd, head, (size_t)n) ||
        !send_all(fd, body, strlen(body)))
      break;
  }
  if (c.gate->cut)
    reset_connection(fd);
  else
    close(fd);
  free(r);
  free(body);
  free(list);
  return NULL;
}

static void start_thread (void *(*run)(void *), void *ud) {
  pthread_t thread;
  pthread_attr_t attr;
  pthread_attr_init(&attr);
  pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
  if (pthread_create(&thread, &attr, run, ud) != 0) exit(EXIT_CANNOT_RUN);
  pthread_attr_destroy(&attr);
}

static void *store_listener (void *ud) {
  gate_t *gate = ud;
  for (;;) {
    int fd = accept4(gate->fd, NULL, NULL, SOCK_CLOEXEC), one = 1;
    if (fd < 0) continue;
    if (gate->cut) {
      reset_connection(fd);
      continue;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    store_connection_t *c = malloc(sizeof *c);
    *c = (store_connection_t){gate, fd};
    start_thread(store_connection, c);
  }
  return NULL;
}

static void store_open (void) {
  for (int i = 0; i < 2; i++) {
    gate_t *gate = &the_store.gates[i];
    gate->fd = listen_on("127.0.0.1", &gate->port);
    if (gate->fd < 0) exit(EXIT_CANNOT_RUN);
    start_thread(store_listener, gate);
  }
}

/* The store resets all its connections, or serves again. */
static inline void store_set_down (bool down) {
  note("store: %s", down ? "down, resets its connections" : "back");
  the_store.gates[0].cut = the_store.gates[1].cut = down;
}

/* }== */

/* {== Engines =========================================================== */

typedef struct engine_t engine_t;

/* Answers one request; false: the connection has been closed. */
typedef bool (*answer_t)(engine_t *engine, int fd, const request_t *request);

struct engine_t {
  char id[32], service[32], zone[32], ip[32];
  int fd, port, slots;
  const char *version;
  int64_t born; /* Unix ms of its start; 0: its entry does not say */
  answer_t answer;
  volatile int starts; /* rises when the engine crashes */
  int conns[256];      /* open connections; -1: a free place */
};

typedef struct engine_connection_t {
  engine_t *engine;
  int fd;
} engine_connection_t;

static void engine_seal (const engine_t *e, const char *attempt, char *seal,
                         size_t size) {
  snprintf(seal, size, "%s.%s.1", e->id, attempt);
}

static pthread_mutex_t engines_lock = PTHREAD_MUTEX_INITIALIZER;

/* Replaces an entry of the engine's open connections. */
static void engine_note_connection (engine_t *e, int from, int to) {
  pthread_mutex_lock(&engines_lock);
  for (size_t i = 0; i < sizeof e->conns / sizeof *e->conns; i++) {
    if (e->conns[i] != from) continue;
    e->conns[i] = to;
    break;
  }
  pthread_mutex_unlock(&engines_lock);
}

static void *engine_connection (void *ud) {
  engine_connection_t c = *(engine_connection_t *)ud;
  free(ud);
  engine_note_connection(c.engine, -1, c.fd);
  request_t *r = malloc(sizeof *r);
  char expected[64], attempt[64];
  while (read_request(c.fd, r)) {
    field(r->head, "X-Expect-Instance", expected, sizeof expected);
    field(r->head, "X-Attempt-Id", attempt, sizeof attempt);
    bool other = expected[0] != '\0' && strcmp(expected, c.engine->id) != 0;
    bool ok = true;
    if (strcmp(r->target, "/healthz") == 0)
      ok = send_text(c.fd,
                     "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n"
                     "Content-Length: 0\r\n\r\n",
                     c.engine->id);
    else if (other)
      ok = send_text(c.fd,
                     "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\n"
                     "X-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n"
                     "Content-Length: 0\r\n\r\n",
                     c.engine->id, attempt);
    else {
      /* false: `answer` has closed the connection */
      if (!c.engine->answer(c.engine, c.fd, r)) {
        free(r);
        return NULL;
      }
      continue;
    }
    if (!ok) break;
  }
  engine_note_connection(c.engine, c.fd, -1);
  close(c.fd);
  free(r);
  return NULL;
}

static void *engine_listener (void *ud) {
  engine_t *e = ud;
  int listener = e->fd, start = e->starts;
  for (;;) {
    int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC), one = 1;
    if (e->starts != start) {
      if (fd >= 0) close(fd);
      return NULL;
    }
    if (fd < 0) continue;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    engine_connection_t *c = malloc(sizeof *c);
    *c = (engine_connection_t){e, fd};
    start_thread(engine_connection, c);
  }
  return NULL;
}

/* Writes the engine's entry to the store. */
static void engine_list (const engine_t *e, const char *state) {
  char key[64], value[512], born[48] = "";
  snprintf(key, sizeof key, "servers/%s", e->id);
  if (e->born != 0)
    snprintf(born, sizeof born, "\"born\":%lld,", (long long)e->born);
  snprintf(value, sizeof value,
           "{\"service\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"%s\","
           "\"version\":\"%s\",\"slots\":%d,\"state\":\"%s\","
           "\"cold_left_ms\":0,%s\"seq\":1}",
           e->service, e->ip, e->port, e->zone, e->version ? e->version : "v1",
           e->slots, state, born);
  store_put(key, value);
}

/* Starts an engine that the store does not list yet. */
static void engine_open_unlisted (engine_t *e) {
  if (e->slots == 0) e->slots = 64;
  if (e->ip[0] == '\0') snprintf(e->ip, sizeof e->ip, "127.0.0.1");
  for (size_t i = 0; i < sizeof e->conns / sizeof *e->conns; i++)
    e->conns[i] = -1;
  e->fd = listen_on(e->ip, &e->port);
  if (e->fd < 0) exit(EXIT_CANNOT_RUN);
  start_thread(engine_listener, e);
}

/* All connections of the engine end, and its port refuses new ones. An
   `answer` that runs finds that `starts` has changed. */
static inline void engine_crash (engine_t *e) {
  note("engine %s crashes", e->id);
  e->starts++;
  shutdown(e->fd, SHUT_RDWR);
  close(e->fd);
  pthread_mutex_lock(&engines_lock);
  for (size_t i = 0; i < sizeof e->conns / sizeof *e->conns; i++)
    if (e->conns[i] >= 0) shutdown(e->conns[i], SHUT_RDWR);
  pthread_mutex_unlock(&engines_lock);
}

/* Starts it again, under its id and at its address. */
static inline void engine_return (engine_t *e) {
  struct timespec ts;
  clock_gettime(CLOCK_REALTIME, &ts);
  e->born = (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
  e->fd = listen_on(e->ip, &e->port);
  if (e->fd < 0) exit(EXIT_CANNOT_RUN);
  note("engine %s is back, software %s", e->id, e->version);
  start_thread(engine_listener, e);
}

static inline void engine_open (engine_t *e) {
  engine_open_unlisted(e);
  engine_list(e, "ready");
}

/* }== */

/* {== Gateways ========================================================== */

#define GATEWAYS_MAX 8

typedef struct gateway_t {
  int index;
  pid_t pid;
  char ip[32], zone[32], settings[256], log[256];
  int callers, ready, metrics;
  int gate;  /* of the store */
  int peers; /* UDP port, the same for all unless a case sets another */
} gateway_t;

static gateway_t gateways[GATEWAYS_MAX];
static int gateways_count, peers_port;
static char stage_dir[128];

static void gateway_start (gateway_t *g) {
  int out = open(g->log, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);

  fflush(NULL);
  pid_t parent = getpid();
  g->pid = fork();
  if (g->pid < 0) exit(EXIT_CANNOT_RUN);
  if (g->pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(EXIT_CANNOT_RUN);
    if (out >= 0) {
      dup2(out, 1);
      dup2(out, 2);
    }
    static const char *const passed[] = {"PATH", "HOME", "LANG"};
    char *env[5], text[4][4096];
    int n = 0;
    for (int i = 0; i < 3; i++) {
      const char *value = getenv(passed[i]);
      if (value == NULL) continue;
      snprintf(text[n], sizeof text[n], "%s=%s", passed[i], value);
      env[n] = text[n];
      n++;
    }
    snprintf(text[n], sizeof text[n], "MARTENTILLER_CONFIG=%s", g->settings);
    env[n] = text[n];
    env[n + 1] = NULL;
    execle("target/martentiller", "target/martentiller", "gateway",
           (char *)NULL, env);
    _exit(127);
  }
  if (out >= 0) close(out);
  note("gateway %s starts, pid %d", g->ip, (int)g->pid);
}

/* Sends GET and returns the status; 0: no answer. */
static int get_status (const char *ip, int port, const char *target) {
  char text[4096];
  int status = 0, fd = connect_to(ip, port);
  if (fd < 0) return 0;
  struct timeval limit = {1, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  send_text(fd, "GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", target);
  ssize_t n = recv(fd, text, sizeof text - 1, 0);
  if (n > 0) {
    text[n] = '\0';
    sscanf(text, "HTTP/1.1 %d", &status);
  }
  close(fd);
  return status;
}

static inline bool gateway_wait_ready (gateway_t *g, int64_t ms) {
  int64_t until = now_ms() + ms;
  while (now_ms() < until) {
    if (get_status(g->ip, g->ready, "/-/readyz") == 200) return true;
    sleep_ms(20);
  }
  return false;
}

/* Adds a gateway in a zone; call gateways_start when all are added. */
static gateway_t *gateway_add (const char *zone) {
  gateway_t *g = &gateways[gateways_count];
  g->index = gateways_count++;
  snprintf(g->ip, sizeof g->ip, "127.0.1.%d", g->index + 1);
  snprintf(g->zone, sizeof g->zone, "%s", zone);
  g->callers = free_port(g->ip, SOCK_STREAM);
  g->ready = free_port(g->ip, SOCK_STREAM);
  g->metrics = free_port(g->ip, SOCK_STREAM);
  if (peers_port == 0) peers_port = free_port(g->ip, SOCK_DGRAM);
  g->peers = peers_port;
  snprintf(g->settings, sizeof g->settings, "%s/g%d.json", stage_dir,
           g->index);
  snprintf(g->log, sizeof g->log, "%s/g%d.log", stage_dir, g->index);
  return g;
}

/* The template deploy/settings.json, filled for a small deployment. */
static void gateway_write_settings (const gateway_t *g) {
  FILE *f = fopen(g->settings, "w");
  if (f == NULL) exit(EXIT_CANNOT_RUN);
  fprintf(f,
          "{\n  \"node\": \"edge-%d\",\n  \"domain\": \"%s\",\n"
          "  \"callers\": \"%s:%d\",\n  \"ready\": \"%s:%d\",\n"
          "  \"metrics\": \"%s:%d\",\n  \"peers\": \"%s:%d\",\n"
          "  \"seeds\": [",
          g->index + 1, g->zone, g->ip, g->callers, g->ip, g->ready, g->ip,
          g->metrics, g->ip, g->peers);
  for (int i = 0; i < gateways_count && i < 3; i++)
    fprintf(f, "%s\"%s:8785\"", i ? "," : "", gateways[i].ip);
  fprintf(f,
          "],\n  \"grace_ms\": 8000,\n  \"drain_ms\": 2000,\n"
          "  \"descriptors\": 4100,\n"
          "  \"retry\": { \"ratio\": 0.2, \"window_ms\": 10000, \"slack\": 52 },\n"
          "  \"source\": { \"store\": \"127.0.0.1:%d\", \"apply_ms\": 2000, "
          "\"contact_ms\": 3000 }\n}\n",
          the_store.gates[g->gate].port);
  fclose(f);
}

static bool gateways_start (void) {
  for (int i = 0; i < gateways_count; i++) {
    gateway_write_settings(&gateways[i]);
    gateway_start(&gateways[i]);
  }
  for (int i = 0; i < gateways_count; i++)
    if (!gateway_wait_ready(&gateways[i], 15000)) return false;
  sleep_ms(2000); /* the gateways find each other, and know all engines */
  return true;
}

static void gateways_end (void) {
  for (int i = 0; i < gateways_count; i++) {
    if (gateways[i].pid <= 0) continue;
    kill(gateways[i].pid, SIGKILL);
    waitpid(gateways[i].pid, NULL, 0);
    gateways[i].pid = 0;
  }
}

static void remove_dir (void) {
  char path[300];
  for (int i = 0; i < gateways_count; i++) {
    unlink(gateways[i].settings);
    unlink(gateways[i].log);
  }
  snprintf(path, sizeof path, "%s", stage_dir);
  rmdir(path);
}

/* }== */

/* {== Clients =========================================================== */

typedef enum ending_t {
  ENDING_OPEN,   /* still open when the client stopped reading */
  ENDING_CLOSED, /* closed in order (FIN) */
  ENDING_RESET   /* reset, or another error */
} ending_t;

static const char *const ending_names[] = {"left open", "closed in order",
                                           "reset"};

/* What a client has received on one connection. */
typedef struct reply_t {
  char text[TEXT_MAX];
  size_t size;
  ending_t ending;
  int status;
  bool whole; /* by its framing: all of the answer has come */
  const char *body;
  size_t body_size; /* chunks are decoded */
  char decoded[TEXT_MAX];
} reply_t;

static bool decode_chunks (reply_t *r, const char *p, const char *end) {
  r->body = r->decoded;
  r->body_size = 0;
  for (;;) {
    char *rest;
    const char *line = memmem(p, (size_t)(end - p), "\r\n", 2);
    if (line == NULL) return false;
    size_t n = strtoul(p, &rest, 16);
    p = line + 2;
    if (n == 0) return end - p >= 2;
    if ((size_t)(end - p) < n + 2) {
      size_t left = (size_t)(end - p) < n ? (size_t)(end - p) : n;
      memcpy(r->decoded + r->body_size, p, left);
      r->body_size += left;
      return false;
    }
    memcpy(r->decoded + r->body_size, p, n);
    r->body_size += n;
    p += n + 2;
  }
}

/* Whether the answer is whole by HTTP/1.1: by its chunks, by its length, or
   without either when its connection was closed in order. */
static void parse_reply (reply_t *r) {
  char length[24], coding[24];
  r->text[r->size] = '\0';
  r->whole = false;
  r->body = "";
  r->body_size = 0;
  const char *end = strstr(r->text, "\r\n\r\n");
  if (end == NULL) return;
  sscanf(r->text, "HTTP/1.1 %d", &r->status);
  const char *body = end + 4, *stop = r->text + r->size;
  field(r->text, "Content-Length", length, sizeof length);
  field(r->text, "Transfer-Encoding", coding, sizeof coding);
  if (strcasecmp(coding, "chunked") == 0) {
    r->whole = decode_chunks(r, body, stop);
    return;
  }
  r->body = body;
  r->body_size = (size_t)(stop - body);
  if (length[0] != '\0')
    r->whole = r->body_size >= (size_t)atol(length);
  else
    r->whole = r->ending == ENDING_CLOSED;
}

/* Reads until the answer is whole, the connection ends or `ms` have passed. */
static void read_reply (int fd, reply_t *r, int64_t ms) {
  int64_t until = now_ms() + ms;
  memset(r, 0, sizeof *r);
  r->ending = ENDING_OPEN;
  while (now_ms() < until && !r->whole) {
    struct pollfd p = {fd, POLLIN, 0};
    if (poll(&p, 1, (int)(until - now_ms())) <= 0) break;
    ssize_t n = recv(fd, r->text + r->size, sizeof r->text - 1 - r->size, 0);
    if (n < 0 && errno == EINTR) continue;
    if (n > 0) r->size += (size_t)n;
    if (n == 0) r->ending = ENDING_CLOSED;
    if (n < 0) r->ending = ENDING_RESET;
    parse_reply(r);
    if (n <= 0) break;
  }
}

/* }== */

/* {== The stage ========================================================= */

static bool trouble (void) {
  const char *text = getenv("TROUBLE");
  return text == NULL || strcmp(text, "0") != 0;
}

/* The case takes too long, or is told to end. */
static void on_end_signal (int number) {
  for (int i = 0; i < gateways_count; i++)
    if (gateways[i].pid > 0) kill(gateways[i].pid, SIGKILL);
  _exit(EXIT_CANNOT_RUN);
}

static void clean_up (void) {
  gateways_end();
  if (getenv("KEEP") == NULL) remove_dir();
}

static void stage_open (const char *record) {
  signal(SIGALRM, on_end_signal);
  signal(SIGTERM, on_end_signal);
  signal(SIGINT, on_end_signal);
  alarm(TIME_LIMIT_S);
  setvbuf(stdout, NULL, _IOLBF, 0);
  record_start = now_ms();
  record_file = fopen(record, "w");
  if (record_file == NULL) exit(EXIT_CANNOT_RUN);
  const char *tmp = getenv("TMPDIR");
  snprintf(stage_dir, sizeof stage_dir, "%s/review-XXXXXX",
           tmp != NULL ? tmp : "/tmp");
  if (mkdtemp(stage_dir) == NULL) exit(EXIT_CANNOT_RUN);
  signal(SIGPIPE, SIG_IGN);
  atexit(clean_up);
  store_open();
  note("TROUBLE=%d", trouble());
}

/* Ends all processes, writes the verdict and returns the exit status. */
static int stage_close (int status) {
  static const char *const names[] = {"the rule held", "the rule was broken",
                                      "the case could not run"};
  note("verdict: %s (exit %d)", names[status], status);
  printf("%s\n", names[status]);
  gateways_end();
  if (getenv("KEEP") != NULL) printf("kept: %s\n", stage_dir);
  return status;
}

/* }== */

#endif
