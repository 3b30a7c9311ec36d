/*
** mtjson.h - checks JSON objects against tables of fields
*/
#ifndef mtjson_h
#define mtjson_h

#include <jansson.h>

#include "mtobject.h"

#define MT_MAX_FAULTS 64

/* Every fault found in one document, in the order of finding. */
typedef struct mt_faults_t {
  mt_fault_t at[MT_MAX_FAULTS];
  size_t n;
} mt_faults_t;

typedef enum mt_fieldkind_t {
  MT_F_NAME,   /* 1 to MT_NAME_MAX of [a-z0-9._-] */
  MT_F_STRING, /* min to max bytes */
  MT_F_INT,    /* min to max */
  MT_F_BOOL,
  MT_F_NAMES,   /* array of names */
  MT_F_STRINGS, /* array of strings, each min to max bytes */
  MT_F_ADDRESS, /* "IP:PORT" */
  MT_F_URL,     /* "http://IP:PORT" */
  MT_F_OBJECT   /* an object that is checked elsewhere */
} mt_fieldkind_t;

typedef struct mt_field_t {
  const char *name;
  mt_fieldkind_t kind;
  bool required;
  json_int_t min, max;
} mt_field_t;

/* Records a fault at `where`; more than MT_MAX_FAULTS are dropped. */
void mtJ_fault (mt_faults_t *fs, const char *where, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* Checks one object: wrong types, ranges, missing and unknown fields. */
void mtJ_check (const json_t *obj, const char *path, const mt_field_t *fields,
                size_t nfields, mt_faults_t *fs);

/* True for a name that the product accepts. */
bool mtJ_isname (const char *s);

/* Splits "IP:PORT" (or an URL of it) into a literal address and a port. */
bool mtJ_address (const char *s, char ip[64], uint16_t *port);

/* The text of a string member, or `otherwise`. */
const char *mtJ_str (const json_t *obj, const char *name,
                     const char *otherwise);

/* The value of an integer or boolean member, or `otherwise`. */
json_int_t mtJ_int (const json_t *obj, const char *name,
                    json_int_t otherwise);

#endif
