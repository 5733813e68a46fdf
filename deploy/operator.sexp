; The operator's file: one section for each subsystem, off unless present. Checked by `yarrowspoke check FILE`.

; Rates of judging a build, for the whole fleet and a whole release (docs/operators/verdicts.md). These are the
; decision module's own: the file states them, it does not change them.
(verdicts
  (false-alarm 0.02)     ; chance that a good build is sent back
  (miss 0.05)            ; chance that a bad one is kept, where the stages give time to find it
  (least-fault 0.05)     ; share above the earlier build's failures that counts as a fault
  (least-slowness 1.5))  ; multiple of the earlier build's pace that counts as one
