; The operators' own settings; what is left out has its default. The values were chosen by measurement:
; see docs/measurements.md.
(madderrudder
  (threshold-s 0.25)      ; a task that finds owned room full is held for this long
  (poll-s 0.5)            ; held tasks are looked at again this often
  (budget 4000)           ; counted rentals ...
  (budget-window-s 300)   ; ... within this time
  (idle-s 20)             ; an idle rented machine goes back after this long
  (spot always)           ; which rentals may be of the cheap kind: never, uncounted, always
  (headroom 0.08)         ; share of processors kept from ordinary work where waits must be shorter than a boot
  (patience 0.2)          ; share of the time to spare that work waits before a steady machine is rented for it
  (deputies on)           ; controllers answer workers for a leader that can't be reached
  (learned-run-times off) ; run times are learned from what has run, rather than owners' guesses corrected
  (hold-s 3))             ; how long a leader's hold on the store lasts without extension
