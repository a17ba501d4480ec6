; The operators' settings. A setting that is absent has its default. docs/measurements.md explains the values.
(madderrudder
  (threshold-s 0.25)      ; wait for room on the owned machines, while these are full, before a machine is rented for a task
  (poll-s 0.5)            ; interval between checks of waiting tasks
  (budget 4000)           ; limit on counted rentals within the budget window
  (budget-window-s 300)   ; length of the budget window
  (idle-s 20)             ; idle time after which a rented machine is returned
  (spot always)           ; which rentals may be spot machines: never, uncounted, always
  (headroom 0.08)         ; share of CPUs that ordinary work leaves free where waits must be shorter than a boot
  (patience 0.2)          ; share of a job's slack to wait for spot or owned machines before an on-demand one is rented
  (deputies on)           ; whether other controllers answer workers on behalf of an unreachable leader
  (learned-run-times off) ; whether run times are learned from past runs instead of correcting the owners' estimates
  (hold-s 3))             ; duration of the leader's lease in the store without renewal
