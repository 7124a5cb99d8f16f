package quarantine

// watchers are those who wait for changes of one content.
type watchers struct {
	count int
	// changed is closed at the next change.
	changed chan struct{}
}

// Watch watches the changes of one content until Stop is called.
type Watch struct {
	table   *Table
	content Content
}

// Watch begins to watch a content.
func (t *Table) Watch(content Content) *Watch {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.watchers[content]
	if w == nil {
		w = &watchers{changed: make(chan struct{})}
		t.watchers[content] = w
	}
	w.count++
	return &Watch{table: t, content: content}
}

// Changed returns a channel that is closed at the next change.
func (w *Watch) Changed() <-chan struct{} {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	return w.table.watchers[w.content].changed
}

// Stop ends the watch. It does nothing on nil.
func (w *Watch) Stop() {
	if w == nil {
		return
	}
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	all := w.table.watchers[w.content]
	if all.count--; all.count == 0 {
		delete(w.table.watchers, w.content)
	}
}

// notifyLocked wakes those who watch a content.
func (t *Table) notifyLocked(content Content) {
	if w := t.watchers[content]; w != nil {
		close(w.changed)
		w.changed = make(chan struct{})
	}
}
