/* Loops of jansson, in a form that cppcheck can follow. */
#define json_object_foreach(o, k, v) \
  for (k = "", v = json_object_get(o, k); v; v = json_object_get(o, k))
#define json_array_foreach(a, i, v) \
  for (i = 0; (v = json_array_get(a, i)) != 0; i++)
