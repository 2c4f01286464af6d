/*
 * Election and replication of src/replication with one wiped voter.
 *
 * VMs 0, 1 and 2 are the first voters. VM 3 is the one that VM 2 becomes when
 * its disk is wiped: the same name, another identity (Voter in
 * types/logentry.h). It starts as a learner and is exchanged for VM 2 by two
 * voter changes, one after the other.
 *
 * Messages are kept for ever and may be read at any time, in any order and any
 * number of times, or never: sent[] is what has ever been sent. Since
 * sendWhenDurable() in internal/messages.cpp holds votes and acknowledgements
 * until the disk has what they say, a slow sync looks like a slow message to
 * the others. So each action ends with sync(), which also sends. crash() goes
 * back to the last sync.
 *
 * Left out, since they matter for progress and not for safety: pre-vote, leader
 * stickiness, the leader's check of its majority. Also left out: snapshots.
 *
 * Checked: at most one leader in a term; a leader holds every committed entry;
 * no committed entry is ever replaced.
 *
 * The default run has two terms, four entries, so that both voter changes fit,
 * and one crash. THREE_TERMS and ONE_COMMAND change these bounds; all of them
 * at once are too many states.
 *
 * Broken variants, to be refuted:
 *   VOTE_NOT_SYNCED    a vote is sent before it is durable
 *   ACK_NOT_SYNCED     entries are acknowledged before they are durable
 *   WIPED_VOTER_VOTES  a wiped voter keeps its identity and votes
 */

#ifdef THREE_TERMS
#define TERMS 3
#define SIZE 2
#define CRASHES 0
#endif
#ifdef ONE_COMMAND
#define COMMANDS 1
#define CRASHES 0
#endif
#ifndef TERMS
#define TERMS 2
#endif
#ifndef SIZE
#define SIZE 4 /* entries in the longest log */
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#ifndef COMMANDS
#define COMMANDS 0 /* entries besides term starts and voter changes */
#endif
#define VMS 4
#define WIPED 2
#define LEARNER 3

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

/* EntryKind in types/logentry.h; an entry is its term * 4 + kind. */
#define PLAIN 0
#define ADD 1
#define REMOVE 2

/* ReplicaState and, with d, what the data folder holds of it. */
typedef Vm {
  byte term;
  byte voted;      /* VM + 1 */
  byte role;
  byte match;      /* entries known to equal those of the term's leader */
  byte size;
  byte log[SIZE];
  byte dterm;
  byte dvoted;
  byte dsize;
  byte dlog[SIZE];
}
Vm vm[VMS];
bit alive[VMS];

/* What has been sent in one term. */
typedef Term {
  byte leader;     /* VM + 1 */
  byte size;        /* AppendRequest: any part of the leader's log */
  byte log[SIZE];
  byte commit;     /* the leader's committed index */
  byte votes[VMS]; /* VoteReply: set of VMs that granted */
  byte ask[VMS];   /* VoteRequest: last term * 8 + last index + 1 */
  byte to[VMS];    /* VoteRequest: set of VMs that it is for */
  byte ack[VMS];   /* AppendReply: highest match */
}
Term sent[TERMS + 1];

/* All entries ever committed. */
byte committed[SIZE];
byte committedLen;
byte crashes = CRASHES;
byte commands = COMMANDS;
bit wiped;

hidden byte k, n, set, voters, changed;

#define lastTerm(v) (vm[v].size == 0 -> 0 : vm[v].log[vm[v].size - 1] / 4)
#define lastEntry(v) (lastTerm(v) * 8 + vm[v].size + 1)
#define in(v, s) (((s) >> (v)) & 1)

/* findVoters() in internal/log.cpp: the latest voters in the log, committed or
 * not; changed is the index that set them. */
inline votersOf(v) {
  voters = 7;
  changed = 0;
  k = 0;
  do
  :: k < vm[v].size ->
     if
     :: vm[v].log[k] % 4 == ADD -> voters = 15; changed = k + 1
     :: vm[v].log[k] % 4 == REMOVE -> voters = 11; changed = k + 1
     :: else
     fi;
     k++
  :: else -> break
  od
}

/* hasVoteMajority() and advanceCommit(): n becomes 1 if set holds more than
 * half of voters. */
inline majority() {
  n = in(0, set & voters) + in(1, set & voters) + in(2, set & voters) +
      in(3, set & voters);
  n = (2 * n > in(0, voters) + in(1, voters) + in(2, voters) + in(3, voters))
}

/* adoptTerm() and recordLeaderContact(). */
inline adopt(v, t) {
  if
  :: t > vm[v].term ->
     vm[v].term = t;
     vm[v].voted = 0;
     vm[v].match = 0
  :: else
  fi;
  vm[v].role = FOLLOWER
}

inline sendVote(v) {
  if
  :: vm[v].voted > 0 ->
     sent[vm[v].term].votes[vm[v].voted - 1] =
       sent[vm[v].term].votes[vm[v].voted - 1] | (1 << v)
  :: else
  fi
}

inline sendAck(v) {
  if
  :: vm[v].match > sent[vm[v].term].ack[v] ->
     sent[vm[v].term].ack[v] = vm[v].match
  :: else
  fi
}

/* StorageTask::finishBatch() and then releaseHeldMessages(). */
inline sync(v) {
  vm[v].dterm = vm[v].term;
  vm[v].dvoted = vm[v].voted;
  vm[v].dsize = vm[v].size;
  k = 0;
  do
  :: k < SIZE -> vm[v].dlog[k] = vm[v].log[k]; k++
  :: else -> break
  od;
  sendVote(v);
  sendAck(v)
}

/* recoverReplica() after a stop that lost what was not synced. */
inline crash(v) {
  crashes--;
  vm[v].role = FOLLOWER;
  vm[v].match = 0;
  vm[v].term = vm[v].dterm;
  vm[v].voted = vm[v].dvoted;
  vm[v].size = vm[v].dsize;
  k = 0;
  do
  :: k < SIZE -> vm[v].log[k] = vm[v].dlog[k]; k++
  :: else -> break
  od;
  k = 0 /* spin wants no loop at the end of a d_step */
}

/* startElection() in internal/election.cpp. */
inline startElection(v) {
  votersOf(v);
  if
  :: in(v, voters) ->
     vm[v].term++;
     vm[v].voted = v + 1;
     vm[v].match = 0;
     vm[v].role = CANDIDATE;
     sync(v);
     votersOf(v);
     sent[vm[v].term].ask[v] = lastEntry(v);
     sent[vm[v].term].to[v] = voters
  :: else
  fi
}

/* onVoteRequest() in internal/election.cpp. */
inline vote(v, c, t) {
  if
  :: t > vm[v].term -> adopt(v, t)
  :: else
  fi;
  if
  :: vm[v].voted == 0 && sent[t].ask[c] >= lastEntry(v) ->
     vm[v].voted = c + 1;
     vm[v].role = FOLLOWER;
#ifdef VOTE_NOT_SYNCED
     sendVote(v)
#else
     sync(v)
#endif
  :: else
  fi
}

inline appendLeaderEntry(v, kind) {
  vm[v].log[vm[v].size] = vm[v].term * 4 + kind;
  vm[v].size++;
  vm[v].match = vm[v].size;
  sync(v);
  sent[vm[v].term].size = vm[v].size;
  sent[vm[v].term].log[vm[v].size - 1] = vm[v].log[vm[v].size - 1]
}

/* becomeLeader() in internal/leading.cpp. */
inline becomeLeader(v) {
  votersOf(v);
  set = sent[vm[v].term].votes[v];
  majority();
  if
  :: n ->
     assert(sent[vm[v].term].leader == 0);
     sent[vm[v].term].leader = v + 1;
     /* Votes may arrive late, after a later term has committed more. */
     set = sent[1].commit * (vm[v].term > 1);
#if TERMS > 2
     set = (vm[v].term > 2 && sent[2].commit > set -> sent[2].commit : set);
#endif
     assert(vm[v].size >= set);
     vm[v].role = LEADER;
     k = 0;
     do
     :: k < vm[v].size ->
        assert(k >= set || vm[v].log[k] == committed[k]);
        sent[vm[v].term].log[k] = vm[v].log[k];
        k++
     :: else -> break
     od;
     appendLeaderEntry(v, PLAIN)
  :: else
  fi
}

/* onAppendRequest() in internal/following.cpp, with the one entry after p. */
inline append(v, t, p) {
  adopt(v, t);
  if
  :: p == 0 || vm[v].log[p - 1] == sent[t].log[p - 1] ->
     if
     :: vm[v].size > p && vm[v].log[p] == sent[t].log[p]
     :: else ->
        k = p;
        do
        :: k < SIZE -> vm[v].log[k] = 0; k++
        :: else -> break
        od;
        vm[v].log[p] = sent[t].log[p];
        vm[v].size = p + 1
     fi;
     vm[v].match = p + 1;
#ifdef ACK_NOT_SYNCED
     sendAck(v)
#else
     sync(v)
#endif
  :: else
  fi
}

/* advanceCommit() in internal/leading.cpp, for the index i. */
inline commitEntries(v, i) {
  votersOf(v);
  set = 0;
  k = 0;
  do
  :: k < VMS ->
     if
     :: sent[vm[v].term].ack[k] >= i -> set = set | (1 << k)
     :: else
     fi;
     k++
  :: else -> break
  od;
  majority();
  if
  :: n ->
     sent[vm[v].term].commit = i;
     k = 0;
     do
     :: k < i ->
        assert(k >= committedLen || committed[k] == vm[v].log[k]);
        committed[k] = vm[v].log[k];
        k++
     :: else -> break
     od;
     committedLen = (i > committedLen -> i : committedLen)
  :: else
  fi
}

/* onProposeVoterChange() in internal/proposals.cpp: add the learner once it has
 * caught up, then remove the wiped voter. */
inline changeVoters(v) {
  votersOf(v);
  if
  :: changed <= sent[vm[v].term].commit && voters == 7 &&
     sent[vm[v].term].ack[LEARNER] >= sent[vm[v].term].commit ->
     appendLeaderEntry(v, ADD)
  :: changed <= sent[vm[v].term].commit && voters == 15 ->
     appendLeaderEntry(v, REMOVE)
  :: else
  fi
}

/* The disk of VM 2 is lost; RecordLog draws another identity. */
inline wipe() {
  wiped = 1;
#ifdef WIPED_VOTER_VOTES
  vm[WIPED].term = 0;
  vm[WIPED].voted = 0;
  vm[WIPED].role = FOLLOWER;
  vm[WIPED].match = 0;
  vm[WIPED].size = 0;
  k = 0;
  do
  :: k < SIZE -> vm[WIPED].log[k] = 0; k++
  :: else -> break
  od;
  sync(WIPED)
#else
  alive[WIPED] = 0;
  alive[LEARNER] = 1
#endif
}

#define countable(v, i) (vm[v].size >= i && vm[v].log[i - 1] / 4 == vm[v].term)

#define canVote(v, c, t) (v != c && sent[t].ask[c] > 0 && \
  in(v, sent[t].to[c]) && (t > vm[v].term || \
  (t == vm[v].term && vm[v].voted == 0)))
#define canAppend(v, t, p) (sent[t].leader > 0 && sent[t].leader != v + 1 && \
  t >= vm[v].term && p < sent[t].size && p <= vm[v].size && \
  (t > vm[v].term || p >= vm[v].match))
#define canCommit(v, i) (vm[v].role == LEADER && countable(v, i) && \
  sent[vm[v].term].commit < i)

#define VOTE(c, t) \
  :: d_step { alive[self] && canVote(self, c, t) -> vote(self, c, t) }
#define APPEND(t, p) \
  :: d_step { alive[self] && canAppend(self, t, p) -> append(self, t, p) }
#define COMMIT(i) \
  :: d_step { alive[self] && canCommit(self, i) -> commitEntries(self, i) }

proctype Replica(byte self) {
end:
  do
  :: d_step { alive[self] && vm[self].role != LEADER &&
              vm[self].term < TERMS -> startElection(self) }
  :: d_step { alive[self] && crashes > 0 -> crash(self) }
  :: d_step { alive[self] && vm[self].role == CANDIDATE &&
              vm[self].size < SIZE -> becomeLeader(self) }
  :: d_step { alive[self] && vm[self].role == LEADER && vm[self].size < SIZE &&
              commands > 0 -> commands--; appendLeaderEntry(self, PLAIN) }
  :: d_step { alive[self] && vm[self].role == LEADER && vm[self].size < SIZE &&
              wiped && sent[vm[self].term].commit > 0 -> changeVoters(self) }
   VOTE(0, 1) VOTE(1, 1) VOTE(2, 1) VOTE(3, 1)
   VOTE(0, 2) VOTE(1, 2) VOTE(2, 2) VOTE(3, 2)
#if TERMS > 2
   VOTE(0, 3) VOTE(1, 3) VOTE(2, 3) VOTE(3, 3)
#endif
   APPEND(1, 0) APPEND(1, 1) APPEND(1, 2)
   APPEND(2, 0) APPEND(2, 1) APPEND(2, 2)
#if SIZE > 3
   APPEND(1, 3) APPEND(2, 3)
#endif
#if TERMS > 2
   APPEND(3, 0) APPEND(3, 1) APPEND(3, 2)
#if SIZE > 3
   APPEND(3, 3)
#endif
#endif
   COMMIT(1) COMMIT(2) COMMIT(3)
#if SIZE > 3
   COMMIT(4)
#endif
  od
}

init {
  atomic {
    alive[0] = 1;
    alive[1] = 1;
    alive[2] = 1;
    run Replica(0);
    run Replica(1);
    run Replica(2);
    run Replica(3)
  }
end:
  d_step { !wiped -> wipe() }
}
