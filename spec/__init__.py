"""Small specifications of the core protocols, checked by induction and by bounded search."""
