package confsync

// history keeps earlier documents as bases for patches, and caches the patches.
type history struct {
	documents []Document
	// patches caches the patches that produce the document with version patchTarget, by the version of their base.
	patchTarget Version
	patches     map[Version][]byte
}

func (h *history) add(document Document) {
	if document.Revision == 0 {
		return
	}
	h.documents = append(h.documents, document)
	if len(h.documents) > maxHistory {
		h.documents = append([]Document(nil), h.documents[1:]...)
	}
}

func (h *history) find(v Version) (Document, bool) {
	for _, document := range h.documents {
		if document.Version == v {
			return document, true
		}
	}
	return Document{}, false
}

// contentFor returns target as a patch against base if that document is known and the patch is smaller than target;
// otherwise it returns the full document.
func (h *history) contentFor(target Document, base Version) Content {
	full := Content{Version: target.Version, Data: target.Bytes}
	document, ok := h.find(base)
	if !ok {
		return full
	}
	h.setPatchTarget(target.Version)
	patch, ok := h.patches[base]
	if !ok {
		patch = makeDocumentPatch(document.Bytes, target.Bytes)
		h.patches[base] = patch
	}
	if patch == nil || len(patch) >= len(target.Bytes) {
		return full
	}
	return Content{Version: target.Version, Base: base, Data: patch}
}

// cachePatch stores a received patch so that it can be forwarded unchanged.
func (h *history) cachePatch(m Content) {
	h.setPatchTarget(m.Version)
	h.patches[m.Base] = m.Data
}

func (h *history) setPatchTarget(target Version) {
	if h.patchTarget == target {
		return
	}
	h.patchTarget = target
	h.patches = make(map[Version][]byte)
}

// applyPatch applies a content message that is a patch against the held document, and returns the resulting bytes.
func (h *history) applyPatch(held Document, m Content) ([]byte, bool) {
	if held.Version != m.Base {
		return nil, false
	}
	return applyDocumentPatch(held.Bytes, m.Data)
}
