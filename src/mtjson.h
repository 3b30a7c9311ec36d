/*
** mtjson.h - validates JSON objects against tables of fields
*/
#ifndef mtjson_h
#define mtjson_h

#include <jansson.h>

#include "mtobject.h"

#define MT_FAULTS_MAX 64

/* The faults found in one document, in order. */
typedef struct mt_faults_t {
  mt_fault_t at[MT_FAULTS_MAX];
  size_t n;
} mt_faults_t;

typedef enum mt_fieldkind_t {
  MT_F_NAME,   /* 1 to MT_NAME_MAX bytes of [a-z0-9._-] */
  MT_F_STRING, /* of min to max bytes */
  MT_F_INT,    /* from min to max */
  MT_F_BOOL,
  MT_F_NAMES,   /* array of names */
  MT_F_STRINGS, /* array of strings, each min to max bytes */
  MT_F_ADDRESS, /* "IP:PORT" */
  MT_F_URL,     /* "http://IP:PORT" */
  MT_F_OBJECT   /* an object; its members are checked by the caller */
} mt_fieldkind_t;

typedef struct mt_field_t {
  const char *name;
  mt_fieldkind_t kind;
  bool required;
  json_int_t min, max;
} mt_field_t;

/* Appends a fault at the path `where`; drops it beyond MT_FAULTS_MAX. */
void mtJ_fault (mt_faults_t *fs, const char *where, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/*
** Checks the types and ranges of an object's members; reports missing and
** unknown ones. `path` is the object's own.
*/
void mtJ_check (const json_t *obj, const char *path, const mt_field_t *fields,
                size_t nfields, mt_faults_t *fs);

/* True for a valid name: 1 to MT_NAME_MAX bytes of [a-z0-9._-]. */
bool mtJ_isname (const char *s);

/*
** Parses "IP:PORT" or "http://IP:PORT" with an IPv4 address; false if
** malformed.
*/
bool mtJ_address (const char *s, char ip[64], uint16_t *port);

/* The value of a string member, or `def`. */
const char *mtJ_str (const json_t *obj, const char *name, const char *def);

/* The value of an integer or boolean (0 or 1) member, or `def`. */
json_int_t mtJ_int (const json_t *obj, const char *name, json_int_t def);

#endif
