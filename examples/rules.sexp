; Rules of a newspaper's front, as an example of the section `rules` (docs/operators/rules.md). Held against
; examples/config.json by `yarrowspoke check examples/rules.sexp --config examples/config.json`.

(rules
  (order all)
  (steps 30000)

  ; What counts something is never sent twice, whatever its method.
  (rule votes (when "query['vote'].orValue('') != ''") (effect once))
  (rule comments (when "class == 'comment'") (effect once) (attempts 2))

  ; One section, one subject.
  (rule sections (when "class == 'article' && has(segments[1])") (subject "'article:' + segments[1].orValue('')"))

  ; Election night.
  (rule live-map
    (when "path.startsWith('/article/live/map')")
    (limit (key "query['region'].orValue('')") (rate 50) (burst 20)))
  (rule old-apps (when "headers['X-App'].orValue('').startsWith('app/1.') && class != 'comment'") (refuse 5))
  (rule long-waits (when "class == 'article' && budget > 1500ms") (budget 1.5))
  (rule crawlers
    (when "headers['User-Agent'].orValue('').lowerAscii().contains('bot')")
    (limit (rate 5) (burst 5)))

  ; Archive pages have numbers of six digits and more; one attempt must do.
  (rule archive (when "path.matches('^/article/archive/[0-9]{6,12}$')") (attempts 1)))
