/*
** mtjson.c - validates JSON objects against tables of fields
*/
#include <arpa/inet.h>
#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mtjson.h"

#define URL_SCHEME "http://"

void mtJ_fault (mt_faults_t *fs, const char *where, const char *fmt, ...) {
  if (fs->n == MT_FAULTS_MAX) return;
  mt_fault_t *f = &fs->at[fs->n++];
  snprintf(f->where, sizeof f->where, "%s", where);
  va_list ap;
  va_start(ap, fmt);
  vsnprintf(f->reason, sizeof f->reason, fmt, ap);
  va_end(ap);
}

bool mtJ_isname (const char *s) {
  size_t n = strlen(s);
  if (n == 0 || n > MT_NAME_MAX) return false;
  for (; *s; s++)
    if (!islower((unsigned char)*s) && !isdigit((unsigned char)*s) &&
        !strchr("._-", *s))
      return false;
  return true;
}

bool mtJ_address (const char *s, char ip[64], uint16_t *port) {
  if (strncmp(s, URL_SCHEME, strlen(URL_SCHEME)) == 0)
    s += strlen(URL_SCHEME);
  const char *colon = strrchr(s, ':');
  if (colon == NULL || colon == s || colon - s >= 64) return false;
  memcpy(ip, s, (size_t)(colon - s));
  ip[colon - s] = '\0';
  char *end;
  unsigned long n = strtoul(colon + 1, &end, 10);
  if (end == colon + 1 || (*end != '\0' && strcmp(end, "/") != 0) ||
      n > 65535)
    return false;
  *port = (uint16_t)n;
  struct in_addr a;
  return inet_pton(AF_INET, ip, &a) == 1;
}

static bool isurl (const char *s) {
  char ip[64];
  uint16_t port;
  return strncmp(s, URL_SCHEME, strlen(URL_SCHEME)) == 0 &&
         mtJ_address(s, ip, &port);
}

static void checkstring (const json_t *v, const char *where,
                         const mt_field_t *f, mt_faults_t *fs) {
  if (!json_is_string(v)) {
    mtJ_fault(fs, where, "must be a string");
    return;
  }
  size_t n = json_string_length(v);
  if ((json_int_t)n < f->min || (json_int_t)n > f->max)
    mtJ_fault(fs, where, "must have %lld to %lld bytes", (long long)f->min,
              (long long)f->max);
}

static void checkarray (const json_t *v, const char *where,
                        const mt_field_t *f, mt_faults_t *fs) {
  if (!json_is_array(v)) {
    mtJ_fault(fs, where, "must be an array");
    return;
  }
  size_t i;
  json_t *e;
  json_array_foreach (v, i, e) {
    char at[128];
    snprintf(at, sizeof at, "%s[%zu]", where, i);
    if (f->kind == MT_F_STRINGS)
      checkstring(e, at, f, fs);
    else if (!json_is_string(e) || !mtJ_isname(json_string_value(e)))
      mtJ_fault(fs, at, "must be a name of [a-z0-9._-], at most %d bytes",
                MT_NAME_MAX);
  }
}

static void checkvalue (const json_t *v, const char *where,
                        const mt_field_t *f, mt_faults_t *fs) {
  char ip[64];
  uint16_t port;
  const char *s = json_string_value(v);
  switch (f->kind) {
    case MT_F_NAME:
      if (s == NULL || !mtJ_isname(s))
        mtJ_fault(fs, where,
                  "must be a name of [a-z0-9._-], at most %d bytes",
                  MT_NAME_MAX);
      break;
    case MT_F_STRING: checkstring(v, where, f, fs); break;
    case MT_F_INT:
      if (!json_is_integer(v))
        mtJ_fault(fs, where, "must be an integer");
      else if (json_integer_value(v) < f->min ||
               json_integer_value(v) > f->max)
        mtJ_fault(fs, where, "must be %lld to %lld", (long long)f->min,
                  (long long)f->max);
      break;
    case MT_F_BOOL:
      if (!json_is_boolean(v)) mtJ_fault(fs, where, "must be true or false");
      break;
    case MT_F_NAMES:
    case MT_F_STRINGS: checkarray(v, where, f, fs); break;
    case MT_F_ADDRESS:
      if (s == NULL || !mtJ_address(s, ip, &port))
        mtJ_fault(fs, where, "must be \"IP:PORT\"");
      break;
    case MT_F_OBJECT:
      if (!json_is_object(v)) mtJ_fault(fs, where, "must be an object");
      break;
    case MT_F_URL:
      if (s == NULL || !isurl(s))
        mtJ_fault(fs, where, "must be \"http://IP:PORT\"");
      break;
  }
}

static const mt_field_t *findfield (const mt_field_t *fields, size_t n,
                                    const char *name) {
  for (size_t i = 0; i < n; i++)
    if (strcmp(fields[i].name, name) == 0) return &fields[i];
  return NULL;
}

void mtJ_check (const json_t *obj, const char *path, const mt_field_t *fields,
                size_t nfields, mt_faults_t *fs) {
  char where[128];
  if (!json_is_object(obj)) {
    mtJ_fault(fs, path, "must be an object");
    return;
  }
  const char *name;
  json_t *v;
  json_object_foreach ((json_t *)obj, name, v) {
    const mt_field_t *f = findfield(fields, nfields, name);
    snprintf(where, sizeof where, "%s.%s", path, name);
    if (f == NULL)
      mtJ_fault(fs, where, "unknown key");
    else
      checkvalue(v, where, f, fs);
  }
  for (size_t i = 0; i < nfields; i++) {
    if (!fields[i].required || json_object_get(obj, fields[i].name)) continue;
    snprintf(where, sizeof where, "%s.%s", path, fields[i].name);
    mtJ_fault(fs, where, "is missing");
  }
}

const char *mtJ_str (const json_t *obj, const char *name, const char *def) {
  const char *s = json_string_value(json_object_get(obj, name));
  return s ? s : def;
}

json_int_t mtJ_int (const json_t *obj, const char *name, json_int_t def) {
  const json_t *v = json_object_get(obj, name);
  if (json_is_boolean(v)) return json_is_true(v);
  return json_is_integer(v) ? json_integer_value(v) : def;
}
