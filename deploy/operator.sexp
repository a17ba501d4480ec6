; The operators' own settings; what is left out has its default.
(madderrudder
  (threshold-s 20)        ; a task that finds owned room full is held for this long
  (poll-s 5)              ; held tasks are looked at again this often
  (budget 10)             ; counted rentals ...
  (budget-window-s 300)   ; ... within this time
  (idle-s 60)             ; an idle rented machine goes back after this long
  (spot uncounted)        ; which rentals may be of the cheap kind: never, uncounted, always
  (hold-s 3))             ; how long a leader's hold on the store lasts without extension
