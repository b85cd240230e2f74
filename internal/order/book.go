package order

import (
	"cmp"
	"context"
	"slices"
)

// Book lets operators list and inspect the orders in the log and settle unclear
// ones by hand.
type Book struct {
	slots *Follower
}

// NewBook returns a Book over the orders of all slots.
func NewBook(slots *Follower) *Book {
	return &Book{slots: slots}
}

// Kept returns the number of keys in the slots that this daemon follows.
func (b *Book) Kept() int { return b.sum((*Fold).Len) }

// Unclear returns the number of unclear orders in the slots that this daemon
// follows.
func (b *Book) Unclear() int { return b.sum((*Fold).Unclear) }

func (b *Book) sum(of func(*Fold) int) int {
	total := 0
	for _, f := range b.slots.all() {
		f.stream.Read(func(fold *Fold) { total += of(fold) })
	}
	return total
}

// List returns at most limit orders that are in one of the given states, oldest
// first; without states it returns orders in any state. It first reads every
// slot up to the end of the log.
func (b *Book) List(ctx context.Context, states []State, limit int) ([]Record, error) {
	var records []Record
	for slot := range Slot(Slots) {
		found, err := b.listSlot(ctx, slot, states)
		if err != nil {
			return nil, err
		}
		records = append(records, found...)
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.ClaimedMillis, b.ClaimedMillis), cmp.Compare(a.Claim.Key, b.Claim.Key))
	})
	return records[:min(limit, len(records))], nil
}

func (b *Book) listSlot(ctx context.Context, slot Slot, states []State) ([]Record, error) {
	f := b.slots.acquire(slot)
	defer b.slots.release(f)
	if err := f.confirm(ctx); err != nil {
		return nil, err
	}
	var records []Record
	f.stream.Read(func(fold *Fold) {
		fold.Each(func(record Record) {
			if len(states) == 0 || slices.Contains(states, record.State) {
				records = append(records, record)
			}
		})
	})
	return records, nil
}

// Show returns the order of a key after reading its slot up to the end of the
// log. It returns an UnknownKeyError when the log holds no such order.
func (b *Book) Show(ctx context.Context, key Key) (Record, error) {
	f := b.slots.acquire(SlotOf(key))
	defer b.slots.release(f)
	if err := f.confirm(ctx); err != nil {
		return Record{}, err
	}
	record, ok := f.find(key)
	if !ok {
		return record, &UnknownKeyError{Key: key}
	}
	return record, nil
}

// Settle records an operator's decision on whether an unclear order ran. It
// returns a NotUnclearError when the order is in another state.
func (b *Book) Settle(ctx context.Context, key Key, ran bool, operator string) (Record, error) {
	record, err := b.Show(ctx, key)
	if err != nil {
		return record, err
	}
	f := b.slots.acquire(SlotOf(key))
	defer b.slots.release(f)
	settlement := Settlement{Key: key, Claim: record.Offset, Ran: ran, Operator: operator}
	receipt, err := f.stream.Propose(ctx, KindSettlement, settlement)
	if err != nil {
		return record, err
	}
	if receipt.Void != nil {
		return record, receipt.Void
	}
	record, _ = f.find(key)
	return record, nil
}
