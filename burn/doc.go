package burn
