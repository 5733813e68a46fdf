; Two fronts and three planners on one machine, to try a fleet with (README).
(fleet
  (lease 2)              ; s; without a lease a front sends nothing to a build on trial
  (renew 0.2)
  (behind 1)             ; behind the others for longer: noted, and brought up
  (shut-after 30)        ; behind for longer: shut out, where the limits allow
  (most-out 1)
  (most-out-by-zone 1)
  ; (paced (pace 0.6))   ; with many fronts or machines: heartbeats at a pace, lists by delta (docs/operators/fleet.md)
  (alone serve)          ; with all planners gone: by its own sources
  (member (name toy) (role front) (zone a))
  (member (name toy2) (role front) (zone a))
  (member (name p0) (role planner) (address "127.0.0.1:7100"))
  (member (name p1) (role planner) (address "127.0.0.1:7101"))
  (member (name p2) (role planner) (address "127.0.0.1:7102")))
