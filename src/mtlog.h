/*
** mtlog.h - log lines with syslog levels, on standard error
*/
#ifndef mtlog_h
#define mtlog_h

/* Levels of syslog(3). */
typedef enum mt_level_t {
  MT_ERR = 3,
  MT_WARN = 4,
  MT_INFO = 6,
  MT_DEBUG = 7
} mt_level_t;

/* Components that log; each has a fixed prefix (see docs/OPERATIONS.md). */
typedef enum mt_component_t {
  MT_L_ROUTER,
  MT_L_PEER,
  MT_L_STORE,
  MT_L_CONFIG,
  MT_L_TARGET,
  MT_L_CALLER,
  MT_L_SHARE,
  MT_L_POLICY
} mt_component_t;

/* Sets the node name of each line; levels above `level` are not written. */
void mtL_open (const char *node, mt_level_t level);

/* Writes one line: "<level>martentiller[node]: component: text". */
void mtL_log (mt_level_t level, mt_component_t component, const char *fmt,
              ...) __attribute__((format(printf, 3, 4)));

#endif
