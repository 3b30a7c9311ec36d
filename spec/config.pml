/*
** config.pml - revisions of the configuration
**
** Two operators race by compare-and-swap, acknowledgements are lost; two
** routers learn from the store or from each other; one restarts without
** memory while the store may be away.
**
** Steps and functions: PUBLISH mtU_write, swaphead (mtpublish.c);
** FETCH mtK_store_reply; HEARD mtK_peer_revision, mtK_recv_head; ADOPT apply (mtconf.c);
** RESTART mtR_new (mtcore.c).
**
** Mutations: BREAK_OLD adopts whatever it hears, BREAK_CAS writes blindly.
*/

#define NROUTER 2
#define MAXREV 3

byte stored = 0;              /* revision in the store */
byte force[NROUTER];          /* in force at each router; 0: none, refuses */
byte highest[NROUTER];        /* the highest it ever had, in this process */
byte winners[MAXREV + 1];     /* operators told that they won a revision */
bool fell = false;
bool storeup = true;
byte restarts = 0, outages = 0;

inline adopt(me, rev) {
  if
#ifdef BREAK_OLD
  :: rev != 0 -> force[me] = rev
#else
  :: rev > force[me] -> force[me] = rev
#endif
  :: else -> skip
  fi;
  if
  :: force[me] < highest[me] -> fell = true
  :: else -> highest[me] = force[me]
  fi
}

proctype operator(byte me)
{
  byte seen, tries = 0;
  bool mine;
  do
  :: tries < 2 ->
       atomic { storeup -> seen = stored; tries++ }
       /* PUBLISH: swap the head; the acknowledgement may be lost and is
       ** then resolved by reading back whose head stands */
       atomic {
         if
#ifdef BREAK_CAS
         :: storeup && seen < MAXREV -> stored = seen + 1; mine = true
#else
         :: storeup && stored == seen && seen < MAXREV -> stored = seen + 1; mine = true
         :: storeup && stored != seen -> mine = false
#endif
         :: storeup && seen >= MAXREV -> mine = false
         fi;
         if
         :: mine -> winners[seen + 1]++
         :: else -> skip
         fi
       }
  :: tries >= 2 -> break
  od
}

proctype router(byte me)
{
  byte got, from, steps = 0;
  do
  :: steps < 2 ->
       steps++;
       if
       /* FETCH from the store: the answer may come late */
       :: storeup -> got = stored; atomic { adopt(me, got) }
       /* HEARD from a peer */
       :: from = (me + 1) % NROUTER; got = force[from]; atomic { adopt(me, got) }
       /* RESTART: memory is gone; it refuses until it has a revision */
       :: atomic { restarts < 1 -> restarts++; force[me] = 0; highest[me] = 0 }
       fi
  :: steps >= 2 -> break
  od;
  /* at the end the store is up and every router asks once more */
  storeup; got = stored; atomic { adopt(me, got) }
}

proctype outside()
{
  do
  :: outages < 1 && storeup -> storeup = false; outages++
  :: !storeup -> storeup = true
  :: storeup -> break
  od
}

init {
  atomic {
    run operator(0); run operator(1); run outside();
    run router(0); run router(1)
  }
}

/* A router never goes back. */
ltl neverback { [] !fell }

/* Every revision has at most one operator who believes that he wrote it. */
ltl onewinner { [] (winners[1] <= 1 && winners[2] <= 1 && winners[3] <= 1) }
