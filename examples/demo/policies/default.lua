-- Short prompts may run anywhere; long ones only on engines of speed 2 or more.
function place(request, targets)
  if request.prompt_bytes < 4096 then return nil end
  local names = {}
  for _, t in ipairs(targets) do
    if t.speed >= 2 then table.insert(names, t.name) end
  end
  if #names == 0 then return nil end
  return names
end

-- Calls from a desk (streams) go before batch work of the same workspace.
function order(request)
  if request.stream then return 10 end
  return 0
end
