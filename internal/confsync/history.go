package confsync

// history keeps earlier documents as bases of patches, and the patches made from them.
type history struct {
	documents []Document
	// patches holds the patches to the document with version target, by the version of their base.
	target  Version
	patches map[Version][]byte
}

func (h *history) add(document Document) {
	if document.Revision == 0 {
		return
	}
	h.documents = append(h.documents, document)
	if len(h.documents) > historyLength {
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

// content returns target as a patch of base if the base is known and the patch is smaller than the document.
func (h *history) content(target Document, base Version) Content {
	whole := Content{Version: target.Version, Data: target.Bytes}
	document, ok := h.find(base)
	if !ok {
		return whole
	}
	h.aim(target.Version)
	patch, ok := h.patches[base]
	if !ok {
		patch = patchDocuments(document.Bytes, target.Bytes)
		h.patches[base] = patch
	}
	if patch == nil || len(patch) >= len(target.Bytes) {
		return whole
	}
	return Content{Version: target.Version, Base: base, Data: patch}
}

// keep remembers a received patch, so that it can be passed on as it is.
func (h *history) keep(m Content) {
	h.aim(m.Version)
	h.patches[m.Base] = m.Data
}

func (h *history) aim(target Version) {
	if h.target == target {
		return
	}
	h.target = target
	h.patches = make(map[Version][]byte)
}

// apply returns the bytes of a content that is a patch of the held document.
func (h *history) apply(held Document, m Content) ([]byte, bool) {
	if held.Version != m.Base {
		return nil, false
	}
	return patchedDocument(held.Bytes, m.Data)
}
