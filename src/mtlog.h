/*
** mtlog.h - syslog-style lines to standard error
*/
#ifndef mtlog_h
#define mtlog_h

typedef enum mt_level_t {
  MT_ERR = 3,
  MT_WARN = 4,
  MT_INFO = 6,
  MT_DEBUG = 7
} mt_level_t;

/* The parts that log; each has a fixed prefix (see docs/OPERATIONS.md). */
typedef enum mt_part_t {
  MT_L_ROUTER,
  MT_L_PEER,
  MT_L_STORE,
  MT_L_CONFIG,
  MT_L_TARGET,
  MT_L_CALLER,
  MT_L_SHARE,
  MT_L_POLICY
} mt_part_t;

/* Sets the name written into each line and the highest level written. */
void mtL_open (const char *node, mt_level_t level);

/* Writes one line: "<level>martentiller[node]: part: text". */
void mtL_log (mt_level_t level, mt_part_t part, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

#endif
